#include "Run.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/http/Client.h"
#include "persimmondoor/store/PlatformClients.h"
#include "persimmondoor/store/StandinServer.h"

#include <boost/asio/this_coro.hpp>
#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::store;

namespace {

const WorkerName worker = WorkerName::of("worker-01");

// Returns a string of all 256 byte values.
std::string allBytes()
{
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte)
        bytes.push_back(static_cast<char>(byte));
    return bytes;
}

// Stand-ins served over HTTP, and their clients.
struct Fixture {
    Fixture()
        : server_(*serveStandins(context_.get_executor(), *Address::parse("127.0.0.1:0"), standins_))
        , clients_(connectPlatform(context_.get_executor(), server_->address()))
    {
        standins_.workers_.add(worker, *Resources::create(4000, 1'000'000, 0));
    }

    template <typename T>
    T run(boost::asio::awaitable<T> body)
    {
        return runIn(context_, std::move(body));
    }

    http::Response put(const std::string& body)
    {
        auto outcome = run(http::exchangeOnce(context_.get_executor(), server_->address(), { "PUT", "/standin/faults", {}, body }, std::chrono::seconds(5)));
        return std::get<http::Response>(outcome);
    }

    boost::asio::io_context context_ { 1 };
    PlatformStandins standins_ = PlatformStandins::create(SteadyClock());
    std::unique_ptr<http::Server> server_;
    PlatformClients clients_;
};

Launch launchOf(const std::string& command)
{
    return { { TaskId::of("job/0"), Attempt(3) }, command, "", *Resources::create(1000, 1000, 1), allBytes(), std::chrono::seconds(60) };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_platform, Fixture)

BOOST_AUTO_TEST_CASE(rows_with_any_bytes_round_trip)
{
    CommitOutcome outcome = run(commit(clients_.table_, { { { "a", RowVersion() } }, { Put { "a", allBytes() }, Put { "b", "" } } }));
    BOOST_REQUIRE(std::holds_alternative<Committed>(outcome));
    auto rows = run(read(clients_.table_, { "a", "missing" }));
    BOOST_REQUIRE(rows.ok());
    BOOST_TEST((rows->at(0) == Row { "a", allBytes(), std::get<Committed>(outcome).version_ }));
    BOOST_TEST(rows->at(1).version_.value() == 0U);
    auto scanned = run(scan(clients_.table_, { "", "a", 10 }));
    BOOST_REQUIRE(scanned.ok());
    BOOST_REQUIRE_EQUAL(scanned->size(), 1U);
    BOOST_TEST(scanned->front().key_ == "b");
}

BOOST_AUTO_TEST_CASE(conflict_names_the_row)
{
    run(commit(clients_.table_, { {}, { Put { "a", "1" } } }));
    BOOST_TEST((run(commit(clients_.table_, { { { "a", RowVersion() } }, { Erase { "a" } } })) == CommitOutcome(Conflict { "a" })));
    BOOST_TEST((standins_.table_.state().read("a").value_ == "1"));
}

BOOST_AUTO_TEST_CASE(outage_is_unavailable_and_lost_reply_leaves_the_outcome_unknown)
{
    standins_.table_.inject({ .down_ = true });
    BOOST_TEST(std::holds_alternative<Unavailable>(run(commit(clients_.table_, { {}, { Put { "a", "1" } } }))));
    BOOST_TEST((run(read(clients_.table_, { "a" })).status().code() == absl::StatusCode::kUnavailable));
    standins_.table_.inject({ .repliesToLose_ = 1 });
    BOOST_TEST(std::holds_alternative<ReplyLost>(run(commit(clients_.table_, { {}, { Put { "a", "1" } } }))));
    BOOST_TEST((standins_.table_.state().read("a").value_ == "1"));
    BOOST_TEST(standins_.table_.state().counts().transactions_ == 1U);
}

BOOST_AUTO_TEST_CASE(slow_answer_is_a_lost_reply)
{
    standins_.table_.inject({ .delay_ = platformTimeout + std::chrono::milliseconds(500) });
    BOOST_TEST(std::holds_alternative<ReplyLost>(run(commit(clients_.table_, { {}, { Put { "a", "1" } } }))));
}

BOOST_AUTO_TEST_CASE(no_connection_is_unavailable)
{
    server_->close();
    BOOST_TEST(std::holds_alternative<Unavailable>(run(commit(clients_.table_, { {}, { Put { "a", "1" } } }))));
    BOOST_TEST((run(putObject(clients_.objects_, "o", "1")).code() == absl::StatusCode::kUnavailable));
}

BOOST_AUTO_TEST_CASE(client_reconnects_to_a_restarted_server)
{
    BOOST_TEST(run(putObject(clients_.objects_, "o", "1")).ok());
    Address address = server_->address();
    server_.reset();
    server_ = *serveStandins(context_.get_executor(), address, standins_);
    // The restart closed the client's idle connection, so an idempotent call is sent again on a new one.
    BOOST_TEST(run(getObject(clients_.objects_, "o")).value() == "1");
}

BOOST_AUTO_TEST_CASE(objects_with_any_bytes_and_keys_round_trip)
{
    std::string key = "snapshot/7 %&=+?\x01";
    BOOST_TEST(run(putObject(clients_.objects_, key, allBytes())).ok());
    BOOST_TEST((run(getObject(clients_.objects_, key)).value() == allBytes()));
    BOOST_TEST(run(putObject(clients_.objects_, "snapshot/8", "")).ok());
    BOOST_TEST((run(listObjects(clients_.objects_, { "snapshot/", "snapshot/7z", 10 })).value() == std::vector<std::string> { "snapshot/8" }));
    BOOST_TEST(run(removeObject(clients_.objects_, key)).ok());
    BOOST_TEST(run(removeObject(clients_.objects_, key)).ok());
    BOOST_TEST((run(getObject(clients_.objects_, key)).status().code() == absl::StatusCode::kNotFound));
}

BOOST_AUTO_TEST_CASE(lost_reply_of_an_object_write_leaves_the_outcome_unknown)
{
    standins_.objects_.inject({ .repliesToLose_ = 1 });
    BOOST_TEST((run(putObject(clients_.objects_, "o", "1")).code() == absl::StatusCode::kDeadlineExceeded));
    BOOST_TEST(run(getObject(clients_.objects_, "o")).value() == "1");
}

BOOST_AUTO_TEST_CASE(task_is_launched_reported_and_forgotten)
{
    Launch launch = launchOf("sleep 60000");
    BOOST_TEST(std::holds_alternative<Launched>(run(launchTask(clients_.workers_, worker, launch))));
    auto running = run(reportTasks(clients_.workers_, worker, { WorkerRevision(), Duration(0) }));
    BOOST_REQUIRE(running.ok());
    BOOST_REQUIRE_EQUAL(running->tasks_.size(), 1U);
    BOOST_TEST((running->tasks_[0].label_ == allBytes()));
    BOOST_TEST((running->tasks_[0].resources_ == launch.resources_));
    // A report that waits for a change returns when the task is stopped.
    auto stop = [](WorkerClient workers, TaskAttempt task) -> boost::asio::awaitable<void> {
        co_await sleepFor(std::chrono::milliseconds(20));
        co_await stopTask(workers, worker, task);
    };
    spawn(context_.get_executor(), "stop", stop(clients_.workers_, launch.task_));
    auto ended = run(reportTasks(clients_.workers_, worker, { running->revision_, std::chrono::seconds(30) }));
    BOOST_REQUIRE(ended.ok());
    BOOST_REQUIRE_EQUAL(ended->tasks_.size(), 1U);
    BOOST_TEST((ended->tasks_[0].state_ == TaskState::Stopped));
    BOOST_TEST(run(forgetTasks(clients_.workers_, worker, { launch.task_ })).ok());
    BOOST_TEST(run(reportTasks(clients_.workers_, worker, {})).value().tasks_.empty());
}

BOOST_AUTO_TEST_CASE(worker_calls_return_their_outcomes)
{
    TaskAttempt task = launchOf("").task_;
    BOOST_TEST((run(stopTask(clients_.workers_, worker, task)).code() == absl::StatusCode::kNotFound));
    BOOST_TEST((run(reportUsage(clients_.workers_, WorkerName::of("other"))).status().code() == absl::StatusCode::kNotFound));
    BOOST_TEST(std::holds_alternative<LaunchRefused>(run(launchTask(clients_.workers_, worker, launchOf("dance")))));
    BOOST_TEST(std::holds_alternative<Launched>(run(launchTask(clients_.workers_, worker, launchOf("compute 60000")))));
    BOOST_TEST(run(throttleTask(clients_.workers_, worker, task, 0.25)).ok());
    BOOST_TEST(run(extendTasks(clients_.workers_, worker, { task }, std::chrono::seconds(90))).ok());
    BOOST_TEST(run(checkpointTask(clients_.workers_, worker, task)).value().starts_with("job/0/3@"));
    auto usage = run(reportUsage(clients_.workers_, worker));
    BOOST_REQUIRE(usage.ok());
    BOOST_TEST(usage->tasks_.at(0).throttle_ == 0.25);
    BOOST_TEST(run(stopTask(clients_.workers_, worker, task)).ok());
}

BOOST_AUTO_TEST_CASE(lost_reply_of_a_launch_leaves_the_outcome_unknown_and_a_retry_starts_nothing)
{
    standins_.workers_.inject(worker, { .repliesToLose_ = 1 });
    BOOST_TEST(std::holds_alternative<ReplyLost>(run(launchTask(clients_.workers_, worker, launchOf("sleep 60000")))));
    BOOST_TEST(std::holds_alternative<Launched>(run(launchTask(clients_.workers_, worker, launchOf("sleep 60000")))));
    BOOST_TEST(standins_.workers_.state(worker).committed().milliCores() == 1000);
}

BOOST_AUTO_TEST_CASE(paused_worker_serves_a_call_when_the_pause_ends)
{
    standins_.workers_.inject(worker, { .paused_ = true });
    auto resume = [](MemoryWorkers workers) -> boost::asio::awaitable<void> {
        co_await sleepFor(std::chrono::milliseconds(20));
        workers.inject(worker, {});
    };
    spawn(context_.get_executor(), "resume", resume(standins_.workers_));
    BOOST_TEST(std::holds_alternative<Launched>(run(launchTask(clients_.workers_, worker, launchOf("sleep 1")))));
}

BOOST_AUTO_TEST_CASE(faults_are_set_over_http)
{
    BOOST_TEST(put(R"({"table": {"down": true}, "workers": {"worker-01": {"fails_everything": true, "usage_lag_us": 5}}})").status_ == 200);
    BOOST_TEST(standins_.table_.faults().down_);
    BOOST_TEST(standins_.workers_.faults().at(worker).failsEverything_);
    BOOST_TEST(put(R"({"table": {"down": false}})").status_ == 200);
    BOOST_TEST(!standins_.table_.faults().down_);
    BOOST_TEST(standins_.workers_.faults().at(worker).failsEverything_);
}

BOOST_AUTO_TEST_CASE(invalid_faults_are_all_reported_and_none_is_set)
{
    http::Response response = put(R"({"table": {"down": true, "lost_replies": -1}, "workers": {"x": {}}, "disk": {}})");
    BOOST_TEST(response.status_ == 400);
    for (const char* path : { "/table/lost_replies", "/workers/x", "/disk" })
        BOOST_TEST(response.body_.find(path) != std::string::npos, path);
    BOOST_TEST(!standins_.table_.faults().down_);
    BOOST_TEST(put("{").status_ == 400);
}

BOOST_AUTO_TEST_SUITE_END()
