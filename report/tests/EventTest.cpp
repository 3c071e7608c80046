#include "Lines.h"

#include <boost/test/unit_test.hpp>

namespace persimmondoor::report {

BOOST_AUTO_TEST_SUITE(events)

BOOST_AUTO_TEST_CASE(end_of_a_job_is_read_with_and_without_its_extent)
{
    std::string times = "completed; placement 1 ms, write 30, startup 31, work 1660, slowed 2, repeated 3";
    TimeParts parts { { 1, 30, 31, 1660, 2, 3 } };
    BOOST_TEST((eventOf("job.ended", "00aa", times + "; queue q-1, 3 tasks, domain north") == Event(JobEnded { "00aa", "completed", { "q-1", 3, "north" }, parts })));
    BOOST_TEST((eventOf("job.ended", "00aa", times) == Event(JobEnded { "00aa", "completed", {}, parts })));
    BOOST_TEST((eventOf("job.ended", "00aa", "cancelled; queue q-1, 3 tasks") == Event(JobEnded { "00aa", "cancelled", { "q-1", 3, "" }, std::nullopt })));
    BOOST_TEST((eventOf("job.ended", "00aa", "completed; placement soon") == Event(UnreadableEvent { "job.ended" })));
}

BOOST_AUTO_TEST_CASE(reasons_of_refusals_add_up_without_their_numbers)
{
    BOOST_TEST((eventOf("job.refused", "00aa", "no durable write for 1203 ms") == Event(Refused { RefusalKind::Job, "no durable write for N ms" })));
    BOOST_TEST((eventOf("run.refused", "00aa/0/0/1#1", "worker w-1@10: the worker is unavailable") == Event(Refused { RefusalKind::Run, "the worker is unavailable" })));
    auto call = [](const std::string& answer) { return parseEvent(std::get<LogLine>(parseLine(concat("{\"time_ms\":1,\"process\":\"p\",\"event\":\"call.answered\",\"answer\":\"", answer, "\"}")))); };
    BOOST_TEST((call("not accepted: too many unfinished jobs") == Event(Refused { RefusalKind::Call, "too many unfinished jobs" })));
    BOOST_TEST((call("accepted") == Event(OtherEvent {})));
}

BOOST_AUTO_TEST_CASE(backlog_is_read_with_and_without_the_unused_cores)
{
    std::string former = "on time 1, late 2, worthless 3; tasks waiting for capacity 4, for a worker without interference 6; filling cores, in thousandths: 3000 assigned, 100 at work, 3900 spare";
    Backlog backlog { 4, 6, 2, 3, 3000, 100, 3900, 0, 0, 0, {} };
    BOOST_TEST((eventOf("queues.backlog", "6 jobs", former) == Event(backlog)));
    backlog.heldRooms_ = 2;
    backlog.held_ = 1500;
    backlog.widestTasks_ = 6;
    backlog.unused_ = { { "with room", 3450 }, { "without the cores", 450 } };
    BOOST_TEST((eventOf("queues.backlog", "6 jobs", former + "; held: 2 rooms, 1500 thousandths of a core; widest demand: 6 tasks, 1000 thousandths of a core; cores that they leave unused: 3450 with room, 450 without the cores") == Event(backlog)));
    BOOST_TEST((eventOf("queues.backlog", "6 jobs", "on time 1") == Event(UnreadableEvent { "queues.backlog" })));
}

BOOST_AUTO_TEST_CASE(waiting_long_running_tasks_are_read_with_the_reasons)
{
    Event event = eventOf("task.waits", "00aa/0/0/4", "1245 ms, with 12 others of its step; job ready, priority 0; workers: 7 draining, 153 without the cores; demand 1000 thousandths of a core, 5 bytes; most free among those without the cores 10, without the memory 0");
    BOOST_TEST((event == Event(LongRunningWait { "00aa/0/0/4", 1245, 13, { { "draining", 7 }, { "without the cores", 153 } } })));
}

BOOST_AUTO_TEST_CASE(runs_and_workers_are_read)
{
    BOOST_TEST((eventOf("run.start", "00aa/0/0/1#1", "worker w-1, domain north") == Event(RunStarted { "w-1", "north" })));
    BOOST_TEST((eventOf("run.ended", "00aa/0/0/1#1", "done; worker w-1") == Event(RunEnded { "w-1", RunOutcome::Done })));
    BOOST_TEST((eventOf("run.ended", "00aa/0/0/1#1", "lapsed; worker w-1") == Event(RunEnded { "w-1", RunOutcome::Stopped })));
    BOOST_TEST((eventOf("run.lost", "00aa/0/0/1#1", "not listed; worker w-1") == Event(RunEnded { "w-1", RunOutcome::Lost })));
    BOOST_TEST((eventOf("worker.gone", "w-1@10", "crashed") == Event(WorkerChanged { "w-1", WorkerState::Gone, 0 })));
    BOOST_TEST((eventOf("worker.quarantined", "w-1", "for 2000 ms; consecutive first failures") == Event(WorkerChanged { "w-1", WorkerState::Quarantined, 2000 })));
}

// Guards against an access out of bounds on a damaged detail.
BOOST_AUTO_TEST_CASE(cut_details_are_read_or_reported)
{
    std::string detail = "completed; placement 1 ms, write 30, startup 31, work 1660, slowed 2, repeated 3; queue q-1, 3 tasks, domain north; worker w-1; workers: 7 draining; leave unused: 1 a";
    for (const char* name : { "job.ended", "job.late", "job.refused", "run.refused", "queues.backlog", "task.waits", "job.waits", "job.waits_omitted", "run.start", "run.ended", "run.lost", "worker.gone", "worker.quarantined", "commit.slow", "leader.claim", "queues.loaded", "log.dropped" }) {
        for (size_t length = 0; length <= detail.size(); ++length)
            BOOST_CHECK_NO_THROW(eventOf(name, detail.substr(0, length), detail.substr(0, length)));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::report
