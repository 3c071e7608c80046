// Heartbeats of processes that are no workers of this host: they end no worker and keep none from getting work.
#include "AgentWorld.h"

#include "persimmondoor/core/Text.h"

namespace persimmondoor::supervision {

BOOST_AUTO_TEST_SUITE(stranger)

static const Address ownAddress = *Address::parse("127.0.0.1:8001");
static const Address otherAddress = *Address::parse("127.0.0.1:9");
static const WorkerIncarnation sound { "w-1", 1000, "host-1" };

static workflow::Heartbeat heartbeatOf(const WorkerIncarnation& worker, const Address& address, const std::string& service, uint64_t sequence, std::vector<std::string> labels = { "a", "r1" })
{
    return { worker, { service, "north", std::move(labels), *Resources::create(64'000, 1'000'000, 0) }, address, false, 3000, sequence };
}

// An agent with a sound worker that runs a task; the leader has named the service of the worker alone.
class AgentWithWorker : public Agent {
public:
    AgentWithWorker()
    {
        handle(heartbeatOf(sound, ownAddress, "packs", 1), 0);
        reply(10);
        answerAs(sound, 20);
        reply(30);
        answerAs(sound, 100);
        reply(110);
    }

    void reply(int64_t milliseconds, std::vector<workflow::Order> orders = {})
    {
        workflow::ReportReply reply { LeaderEpoch(1), Fence(5), state_.sequence_, std::chrono::milliseconds(7500), std::move(orders), {}, {}, {}, { "packs" } };
        handle(ReportAnswered { reply }, milliseconds);
    }

    void answerAs(const WorkerIncarnation& worker, int64_t milliseconds)
    {
        handle(ListArrived { worker, state_.fence_, at(milliseconds), { milliseconds, worker.bornMs_, {}, {} } }, milliseconds);
    }

    // The next heartbeat of the sound worker, a list of it, and an order to start a run there.
    void checkGetsWork(int64_t milliseconds)
    {
        handle(heartbeatOf(sound, ownAddress, "packs", ++sequence_), milliseconds);
        BOOST_TEST(state_.endedWorkers_.empty());
        BOOST_REQUIRE(state_.workers_.count(sound) == 1U);
        BOOST_TEST(state_.workers_.at(sound).isConfirmed_);
        BOOST_TEST(state_.workers_.at(sound).lastHeartbeat_ == sequence_);
        BOOST_TEST(state_.workers_.at(sound).traits_.service_ == "packs");
        answerAs(sound, milliseconds + 5);
        RunKey run { { JobId::of("00000000000000aa"), 0, 0, 0 }, ++lastRun_ };
        reply(milliseconds + 10, { workflow::StartRun { OrderNumber(lastRun_), sound, run, "spec", "", "" } });
        BOOST_TEST(actionsOf<CallStart>().size() == 1U);
        handle(StartCompleted { Fence(5), { OrderNumber(lastRun_), sound, run, "spec", "", "" }, workflow::Started {} }, milliseconds + 15);
    }

    // The workers that the agent's next report names.
    std::vector<WorkerIncarnation> reportedWorkers(int64_t milliseconds)
    {
        handle(ReportFailed {}, milliseconds);
        handle(ReportFailed {}, milliseconds);
        handle(SupervisorTick {}, milliseconds + 200);
        std::vector<WorkerIncarnation> workers;
        const workflow::AgentReport report = actionsOf<SendReport>().at(0).report_;
        for (const workflow::WorkerReport& worker : report.workers_)
            workers.push_back(worker.incarnation_);
        return workers;
    }

private:
    uint64_t sequence_ { 1 };
    uint32_t lastRun_ { 0 };
};

// Every way to name the sound worker by one property or more, at its address or another one.
static std::vector<workflow::Heartbeat> strangers(const std::string& service, uint64_t sequence)
{
    std::vector<workflow::Heartbeat> all;
    for (const char* name : { "w-1", "w-9" }) {
        for (int64_t born : { 1000, 999, 2000 }) {
            for (const char* host : { "host-1", "host-9", "" }) {
                for (const Address& address : { ownAddress, otherAddress }) {
                    bool isSound = name == sound.name_ && born == sound.bornMs_ && host == sound.host_;
                    if (!isSound || address != ownAddress || service != "packs")
                        all.push_back(heartbeatOf({ name, born, host }, address, service, sequence));
                }
            }
        }
    }
    return all;
}

// Guards against a task that is started twice, as a heartbeat of another writer ends the worker that runs it.
BOOST_AUTO_TEST_CASE(heartbeat_of_an_unknown_service_ends_no_worker)
{
    AgentWithWorker agent;
    agent.handle(heartbeatOf({ "w-1", 2000, "another-host" }, otherAddress, "another-system", 1), 200);
    BOOST_TEST(agent.state_.endedWorkers_.empty());
    agent.checkGetsWork(210);
}

// Guards against a worker that is ended, hidden or shut out by a heartbeat that names it in any other way, once or in series.
BOOST_AUTO_TEST_CASE(worker_goes_on_getting_work_beside_any_heartbeats_of_strangers)
{
    for (const std::string& service : { std::string("another-system"), std::string("packs") }) {
        for (const workflow::Heartbeat& heartbeat : strangers(service, 1'000'000)) {
            AgentWithWorker agent;
            for (int64_t time = 200; time < 15'000; time += 500) {
                const LocalWorker before = agent.state_.workers_.at(sound);
                agent.handle(heartbeat, time);
                BOOST_TEST((agent.state_.workers_.at(sound) == before));
                // The sound worker answers at its own address, and nothing at the other one.
                bool isOwnAddress = heartbeat.address_ == ownAddress;
                if (heartbeat.incarnation_ != sound)
                    agent.handle(ListFailed { heartbeat.incarnation_, isOwnAddress, !isOwnAddress, "" }, time + 1);
                agent.checkGetsWork(time + 100);
            }
            BOOST_TEST((agent.reportedWorkers(15'000) == std::vector<WorkerIncarnation> { sound }));
        }
    }
}

// Guards against a series of strangers that fills the memory of the agent.
BOOST_AUTO_TEST_CASE(announced_workers_that_do_not_answer_are_bounded)
{
    AgentWithWorker agent;
    for (int64_t index = 0; index < 1000; ++index)
        agent.handle(heartbeatOf({ concat("w-", index + 100), 2000, "" }, otherAddress, "packs", 1), 200 + index);
    BOOST_TEST(agent.state_.workers_.size() <= 1 + agent.state_.tuning_.maximumUnconfirmedWorkers_);
    agent.checkGetsWork(1300);
}

// Guards against a worker that a restarted agent does not find, as a stranger has taken its name first.
BOOST_AUTO_TEST_CASE(restarted_agent_finds_the_worker_behind_the_heartbeats_of_strangers)
{
    for (const std::string& service : { std::string("another-system"), std::string("packs") }) {
        for (const workflow::Heartbeat& heartbeat : strangers(service, 1'000'000)) {
            Agent agent;
            agent.handle(heartbeat, 0);
            workflow::ReportReply reply { LeaderEpoch(1), Fence(5), agent.state_.sequence_, std::chrono::milliseconds(7500), {}, {}, {}, {}, { "packs" } };
            agent.handle(ReportAnswered { reply }, 10);
            bool isOwnAddress = heartbeat.address_ == ownAddress;
            bool answersAsSound = isOwnAddress && heartbeat.incarnation_.name_ == sound.name_ && heartbeat.incarnation_.bornMs_ == sound.bornMs_;
            // What names the sound worker at its address and states its service cannot be told from it.
            if (answersAsSound && service == "packs")
                continue;
            if (answersAsSound)
                agent.handle(ListArrived { heartbeat.incarnation_, Fence(5), at(10), { 20, sound.bornMs_, {}, {} } }, 20);
            else
                agent.handle(ListFailed { heartbeat.incarnation_, isOwnAddress, !isOwnAddress, "" }, 20);
            agent.handle(heartbeatOf(sound, ownAddress, "packs", 1), 1000);
            agent.handle(ListArrived { sound, Fence(5), at(1001), { 1010, sound.bornMs_, {}, {} } }, 1010);
            BOOST_TEST(agent.state_.workers_.at(sound).isConfirmed_);
            BOOST_TEST(agent.state_.workers_.at(sound).traits_.service_ == "packs");
            BOOST_TEST(agent.state_.endedWorkers_.count(sound) == 0U);
        }
    }
}

// Guards against a successor at another address that is not found: its predecessor has become silent, or refuses connections.
BOOST_AUTO_TEST_CASE(successor_at_another_address_replaces_a_worker_that_has_become_silent)
{
    WorkerIncarnation later { "w-2", 2000, "host-1" };
    for (bool isRefused : { false, true }) {
        AgentWithWorker agent;
        agent.handle(heartbeatOf(later, otherAddress, "packs", 1), 200);
        agent.answerAs(later, 210);
        BOOST_TEST(!agent.state_.workers_.at(later).isConfirmed_);
        BOOST_TEST(agent.state_.endedWorkers_.empty());
        agent.handle(ListFailed { sound, false, isRefused, "" }, 600);
        BOOST_TEST(agent.state_.workers_.at(later).isConfirmed_);
        BOOST_TEST(agent.state_.endedWorkers_.count(sound) == 1U);
    }
}

// Guards against a worker that another process ends which answers in its name elsewhere.
BOOST_AUTO_TEST_CASE(worker_that_answers_refutes_a_successor_at_another_address)
{
    WorkerIncarnation later { "w-2", 2000, "host-1" };
    AgentWithWorker agent;
    for (int64_t time = 200; time < 5000; time += 1000) {
        agent.handle(heartbeatOf(later, otherAddress, "packs", static_cast<uint64_t>(time)), time);
        agent.answerAs(later, time + 10);
        // An answer to a request from before may come from before the end of the worker.
        agent.handle(ListArrived { sound, Fence(5), at(time), { time, sound.bornMs_, {}, {} } }, time + 20);
        BOOST_TEST(agent.state_.workers_.count(later) == 1U);
        agent.answerAs(sound, time + 30);
        BOOST_TEST(agent.state_.workers_.count(later) == 0U);
        agent.checkGetsWork(time + 100);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::supervision
