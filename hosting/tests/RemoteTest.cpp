#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/hosting/Client.h"
#include "persimmondoor/hosting/HostActor.h"
#include "persimmondoor/rpc/Loop.h"
#include "persimmondoor/store/PlatformClients.h"
#include "persimmondoor/store/StandinServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace persimmondoor;
using namespace persimmondoor::hosting;

namespace {

const WorkerName worker = WorkerName::of("worker-01");
constexpr PartitionNumber partition(7);

// An agent that is called over a connection and calls a stand-in worker over HTTP.
struct Fixture {
    Fixture()
    {
        standins_.workers_.add(worker, capacity_);
        platform_ = *store::serveStandins(executor(), *Address::parse("127.0.0.1:0"), standins_);
        store::WorkerClient workers = store::connectPlatform(executor(), platform_->address()).workers_;
        HostSettings settings { worker, FailureDomainName::of("domain-a"), RackName::of("rack-a1"), capacity_, Incarnation(1), Duration(0) };
        host_ = HostActor::create(executor(), SteadyClock(), settings, workers);
        rpc::Interfaces interfaces;
        offerHosting(interfaces, executor(), *host_);
        server_ = *rpc::Server::listen(executor(), *Address::parse("127.0.0.1:0"), std::move(interfaces));
        link_.emplace(executor(), server_->address());
    }

    boost::asio::any_io_executor executor() { return loop_.context().get_executor(); }

    template <typename T>
    T run(boost::asio::awaitable<T> body)
    {
        std::optional<T> result;
        boost::asio::co_spawn(executor(), std::move(body), [&](const std::exception_ptr&, T value) { result = std::move(value); });
        while (!result && loop_.context().run_one() > 0) { }
        return *std::move(result);
    }

    // Probes until the agent has received its worker's first report.
    HostOffer probe()
    {
        for (;;) {
            auto offer = run(probeHost(*link_, { TeamName::of("lankacell"), capacity_ }));
            BOOST_REQUIRE(offer.ok());
            if (offer->accepting_)
                return *offer;
        }
    }

    StartOrder order(const std::string& task, const std::string& command)
    {
        return { TaskId::of(task), Attempt(2), partition, Epoch(3), TeamName::of("lankacell"), Tier::Paying, *Resources::create(1000, 1000, 1), command, "", probe().stamp_,
            std::chrono::seconds(30) };
    }

    // Renews until the answer has `count` events.
    std::vector<HostEvent> waitForEvents(size_t count)
    {
        for (;;) {
            Renewal renewal { partition, Epoch(3), probe().stamp_, std::chrono::seconds(30), Sequence(), {}, 0 };
            auto answer = run(renewTasks(*link_, renewal));
            BOOST_REQUIRE(answer.ok());
            if (answer->events_.size() >= count)
                return answer->events_;
        }
    }

    rpc::Loop loop_;
    Resources capacity_ = *Resources::create(4000, 1'000'000, 2);
    store::PlatformStandins standins_ = store::PlatformStandins::create(SteadyClock());
    std::unique_ptr<http::Server> platform_;
    std::optional<HostActor> host_;
    std::unique_ptr<rpc::Server> server_;
    std::optional<rpc::Link> link_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(remote, Fixture)

BOOST_AUTO_TEST_CASE(offer_carries_what_the_host_has)
{
    HostOffer offer = probe();
    BOOST_TEST((offer.worker_ == worker));
    BOOST_TEST((offer.free_ == capacity_));
    BOOST_TEST((offer.stamp_.incarnation_ == Incarnation(1)));
}

BOOST_AUTO_TEST_CASE(task_runs_from_order_to_acknowledged_end)
{
    auto outcome = run(startTask(*link_, order("job/0", "sleep 5")));
    BOOST_REQUIRE(outcome.ok());
    BOOST_TEST((*outcome == StartOutcome(Started {})));
    std::vector<HostEvent> events = waitForEvents(2);
    BOOST_TEST((events[0].event_ == TaskEvent(TaskStarted {})));
    BOOST_TEST((events[1].event_ == TaskEvent(TaskFinished { 0, "done by attempt 2" })));
    Renewal acknowledgement { partition, Epoch(3), probe().stamp_, std::chrono::seconds(30), events[1].sequence_, {}, 0 };
    BOOST_TEST(run(renewTasks(*link_, acknowledgement))->events_.empty());
}

BOOST_AUTO_TEST_CASE(every_kind_of_event_and_refusal_crosses_the_wire)
{
    BOOST_TEST((*run(startTask(*link_, order("job/0", "compute 60000"))) == StartOutcome(Started {})));
    StartOrder stale = order("job/1", "sleep 1");
    stale.epoch_ = Epoch(1);
    BOOST_TEST((std::get<StartRefused>(*run(startTask(*link_, stale))).reason_ == StartRefusal::StaleEpoch));
    StopOrder stop { TaskId::of("job/0"), Attempt(2), partition, Epoch(3), StopKind::Checkpoint };
    BOOST_TEST((*run(stopTask(*link_, stop)) == StopOutcome(StopAccepted {})));
    std::vector<HostEvent> events = waitForEvents(3);
    BOOST_TEST(std::get<TaskCheckpointed>(events[1].event_).reference_.starts_with("job/0/2@"));
    BOOST_TEST((events[2].event_ == TaskEvent(TaskStopped {})));
    BOOST_TEST((*run(startTask(*link_, order("job/2", "fail 1"))) == StartOutcome(Started {})));
    events = waitForEvents(5);
    BOOST_TEST((events[4].event_ == TaskEvent(TaskFailed { "the command fails" })));
    stop.task_ = TaskId::of("job/9");
    BOOST_TEST((*run(stopTask(*link_, stop)) == StopOutcome(StopUnknownTask {})));
    stop.epoch_ = Epoch(2);
    BOOST_TEST((*run(stopTask(*link_, stop)) == StopOutcome(StopStaleEpoch {})));
    Renewal deposed { partition, Epoch(2), probe().stamp_, std::chrono::seconds(30), Sequence(), {}, 0 };
    BOOST_TEST((run(renewTasks(*link_, deposed)).status().code() == absl::StatusCode::kFailedPrecondition));
}

BOOST_AUTO_TEST_CASE(lost_reply_of_the_platform_starts_the_task_once)
{
    StartOrder start = order("job/0", "sleep 600000");
    // The lost reply is usually that of the launch, but may be that of a report call in flight.
    standins_.workers_.inject(worker, { .repliesToLose_ = 1 });
    auto outcome = run(startTask(*link_, start));
    while (!outcome.ok())
        outcome = run(startTask(*link_, start));
    BOOST_TEST((*outcome == StartOutcome(Started {})));
    BOOST_TEST(standins_.workers_.state(worker).committed().milliCores() == 1000);
}

BOOST_AUTO_TEST_CASE(call_to_a_closed_agent_is_aborted)
{
    server_.reset();
    BOOST_TEST((run(probeHost(*link_, { TeamName::of("lankacell"), capacity_ })).status().code() == absl::StatusCode::kAborted));
}

// The target is 4 KB/s of control traffic per node. At one renewal every 5 s, 4,096 bytes per renewal of one owner, in
// both directions together and for any number of tasks, are a fifth of that.
BOOST_AUTO_TEST_CASE(bytes_of_a_renewal_do_not_grow_with_the_tasks)
{
    constexpr uint64_t bytesPerRenewalLimit = 4096;
    std::vector<uint64_t> bytes;
    std::vector<TaskAttempt> running;
    Sequence acknowledged;
    for (uint64_t tasks : { 1, 32 }) {
        while (running.size() < tasks) {
            StartOrder start = order("job/" + std::to_string(running.size()), "sleep 600000");
            start.resources_ = *Resources::create(100, 100, 0);
            BOOST_REQUIRE((*run(startTask(*link_, start)) == StartOutcome(Started {})));
            running.push_back({ start.task_, start.attempt_ });
        }
        acknowledged = waitForEvents(1).back().sequence_;
        Renewal renewal { partition, Epoch(3), probe().stamp_, std::chrono::seconds(30), acknowledged, {}, digestOf(running) };
        BOOST_REQUIRE(run(renewTasks(*link_, renewal)).ok());
        // Both ends run on this thread, so the bytes sent cover both directions.
        loop_.context().poll();
        uint64_t before = rpc::bytesSent();
        auto answer = run(renewTasks(*link_, renewal));
        loop_.context().poll();
        bytes.push_back(rpc::bytesSent() - before);
        BOOST_REQUIRE(answer.ok());
        BOOST_TEST(answer->running_.empty());
    }
    BOOST_TEST(bytes[0] == bytes[1]);
    BOOST_TEST(bytes[1] <= bytesPerRenewalLimit);
}

BOOST_AUTO_TEST_SUITE_END()
