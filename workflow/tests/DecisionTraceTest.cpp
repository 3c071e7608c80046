#include "LeaderWorld.h"

namespace persimmondoor::workflow {

static const JobId job = JobId::of("00000000000000aa");

static RunKey runOf(uint32_t run)
{
    return { { job, 0, 0, 0 }, run };
}

// Lets the world handle the message with a trace.
template <typename Message>
static std::optional<JobId> tracedJob(LeaderWorld& world, Message message, int64_t milliseconds)
{
    DecisionTrace trace;
    LeaderMessage wrapped = std::move(message);
    Decision decision = decide(std::move(world.state_), wrapped, at(milliseconds), &trace);
    world.state_ = std::move(decision.state_);
    return trace.job();
}

BOOST_AUTO_TEST_SUITE(decision_trace)

// Guards against a leader that hangs and cannot name the job, so that its successors load it again.
BOOST_AUTO_TEST_CASE(decisions_note_the_job_that_they_are_concerned_with)
{
    LeaderWorld world;
    world.report("w-1", 5);
    BOOST_TEST((tracedJob(world, CallArrived { CallToken(1), { "h.example", "/tests/00000000000000aa", Submit { *JobSpec::create("spec", { stepOfTasks(1) }, {}) }, std::chrono::seconds(3) }, 1'000'010 }, 10) == job));
    Batch batch = extractBatch(world.state_);
    BOOST_TEST((tracedJob(world, BatchDurable { batch, at(20) }, 20) == job));
    BOOST_REQUIRE(world.starts("w-1", 21).size() == 1U);
    WorkerReport lists { { "w-1", 1000, "" }, { "packs", "north", { "a", "r1" }, world.capacity_ }, false, 0, true, true, 1, { { runOf(1), "", 10, 0, 100 } }, {}, {} };
    AgentReport report { "w-1", "north", 7, world.state_.epoch_, world.fenceOf("w-1"), Sequence(1000), OrderNumber(1), { lists }, {}, true, {}, {} };
    BOOST_TEST((tracedJob(world, ReportArrived { report }, 30) == job));
    report.workers_[0].active_.clear();
    report.workers_[0].ended_ = { { 1, runOf(1), RunEnd::Done, "" } };
    report.sequence_ = Sequence(1001);
    BOOST_TEST((tracedJob(world, ReportArrived { report }, 40) == job));
}

BOOST_AUTO_TEST_CASE(restoring_notes_each_job)
{
    LeaderWorld former;
    former.submit({ stepOfTasks(1) }, 10);
    former.commit(20);
    DecisionTrace trace;
    restoreState(LeaderEpoch(2), {}, former.rows(), {}, at(30), &trace);
    BOOST_TEST((trace.job() == job));
}

BOOST_AUTO_TEST_CASE(trace_is_empty_until_a_job_is_noted)
{
    DecisionTrace trace;
    BOOST_TEST(!trace.job().has_value());
    trace.note(job);
    BOOST_TEST((trace.job() == job));
    trace.clear();
    BOOST_TEST(!trace.job().has_value());
    trace.note(JobId::of("short"));
    BOOST_TEST(!trace.job().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
