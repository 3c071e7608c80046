#include "persimmondoor/colocation/ColocationActor.h"

#include "persimmondoor/core/Coroutine.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::colocation;

namespace asio = boost::asio;

namespace {

const WorkerName worker = WorkerName::of("w");
const ServiceName service = ServiceName::of("packs");

// A worker with one service, a task of an unknown class, and the actor that protects the service.
struct Fixture {
    Fixture()
        : workers_(store::MemoryWorkers::create(SteadyClock()))
        , host_(hosting::HostActor::create(context_.get_executor(), SteadyClock(), hosting::HostSettings { worker, FailureDomainName::of("d"), RackName::of("r"), capacity_, Incarnation(1), Duration(0) }, workers_))
    {
        workers_.add(worker, capacity_);
    }

    ColocationActor makeActor()
    {
        GuardSettings settings { 64, { service }, *Learned::create({ 1, 1, 1 }), 1, 1 };
        return *ColocationActor::create(context_.get_executor(), SteadyClock(), worker, settings, workers_, host_);
    }

    // Runs `body` and what it spawns until `body` ends.
    void run(asio::awaitable<void> body)
    {
        bool ended = false;
        asio::co_spawn(context_, std::move(body), [&](const std::exception_ptr& failure) {
            ended = true;
            BOOST_TEST((failure == nullptr));
            context_.stop();
        });
        context_.run();
        BOOST_TEST(ended);
    }

    Resources capacity_ = *Resources::create(64'000, 250'000'000'000, 0);
    asio::io_context context_;
    store::MemoryWorkers workers_;
    hosting::HostActor host_;
};

asio::awaitable<void> launch(store::WorkerClient workers, std::string task)
{
    store::Launch order { { TaskId::of(task), Attempt(1) }, "sleep 600000", "", *Resources::create(32'000, 1'000'000, 0), "", std::chrono::minutes(10) };
    auto outcome = co_await store::launchTask(workers, worker, order);
    BOOST_TEST(std::holds_alternative<store::Launched>(outcome));
}

// Waits at most 5 s until the worker reports the task as throttled.
asio::awaitable<double> waitForThrottle(store::WorkerClient workers)
{
    for (int tries = 0; tries < 500; ++tries) {
        auto usage = co_await store::reportUsage(workers, worker);
        if (usage.ok() && !usage->tasks_.empty() && usage->tasks_[0].throttle_ < 1)
            co_return usage->tasks_[0].throttle_;
        co_await sleepFor(std::chrono::milliseconds(10));
    }
    co_return 1;
}

asio::awaitable<void> throttlesAndExplains(store::WorkerClient workers, ColocationActor actor)
{
    co_await launch(workers, "job-1/0");
    actor.updateService({ service, 0.5, 20, 8 });
    double share = co_await waitForThrottle(workers);
    BOOST_TEST(share < 1);
    BOOST_TEST(share >= 0.1);
    auto records = co_await actor.explain();
    BOOST_REQUIRE(records.ok());
    BOOST_REQUIRE(!records->empty());
    const auto* set = std::get_if<SetShare>(&records->front().action_);
    BOOST_REQUIRE(set != nullptr);
    BOOST_TEST(set->share_ == share);
    BOOST_TEST((set->explanation_.compared_.at(0).class_ == TaskClassName::of("job-1")));
    http::Routes routes;
    offerColocation(routes, actor);
    http::Handler handler = routes.handler();
    http::Request ofTask { "GET", "/v1/explain/actions?task=job-1/0", {}, "" };
    http::Response found = co_await handler(ofTask);
    BOOST_TEST(found.status_ == 200);
    BOOST_TEST(found.body_.find("\"action\":\"throttle\"") != std::string::npos);
    http::Request ofOther { "GET", "/v1/explain/actions?task=other", {}, "" };
    http::Response none = co_await handler(ofOther);
    BOOST_TEST(none.body_ == "{\"actions\":[]}");
    actor.stop();
}

asio::awaitable<void> restoresTheShareAfterAnExternalChange(store::MemoryWorkers memory, ColocationActor actor)
{
    store::WorkerClient workers = memory;
    co_await launch(workers, "job-1/0");
    double first = co_await waitForThrottle(workers);
    BOOST_TEST(first < 1);
    // Another client removes the limit; the actor must set the guard's share again.
    store::TaskAttempt task { TaskId::of("job-1/0"), Attempt(1) };
    absl::Status unthrottled = co_await store::throttleTask(workers, worker, task, 1.0);
    BOOST_TEST(unthrottled.ok());
    double second = co_await waitForThrottle(workers);
    BOOST_TEST(second == first);
    actor.stop();
}

} // namespace

BOOST_AUTO_TEST_SUITE(colocation_actor)

BOOST_AUTO_TEST_CASE(class_is_the_job_of_the_task)
{
    BOOST_TEST((classOf(TaskId::of("rebuild/17")) == TaskClassName::of("rebuild")));
    BOOST_TEST((classOf(TaskId::of("single")) == TaskClassName::of("single")));
    BOOST_TEST((classOf(TaskId::of("/odd")) == TaskClassName::of("/odd")));
}

BOOST_AUTO_TEST_CASE(task_beside_a_service_is_throttled_at_the_worker_and_explained)
{
    Fixture fixture;
    fixture.run(throttlesAndExplains(fixture.workers_, fixture.makeActor()));
}

BOOST_AUTO_TEST_CASE(share_is_set_again_when_the_worker_reports_another)
{
    Fixture fixture;
    fixture.run(restoresTheShareAfterAnExternalChange(fixture.workers_, fixture.makeActor()));
}

BOOST_AUTO_TEST_CASE(invalid_settings_start_no_actor)
{
    Fixture fixture;
    GuardSettings settings { 0, {}, Uncontrolled {}, 1, 1 };
    BOOST_TEST(!ColocationActor::create(fixture.context_.get_executor(), SteadyClock(), worker, settings, fixture.workers_, fixture.host_).ok());
}

BOOST_AUTO_TEST_SUITE_END()
