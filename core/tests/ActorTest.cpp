#include "persimmondoor/core/Actor.h"

#include "persimmondoor/core/Mailbox.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <functional>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace persimmondoor {

namespace asio = boost::asio;

struct Ended {
    int exitCode_ { -1 };
    std::string output_;
};

// Runs `body` in a child process. Its exit code is 0 if `body` returns.
static Ended runInChild(const std::function<void()>& body)
{
    int ends[2] = {};
    BOOST_REQUIRE(pipe(ends) == 0);
    pid_t child = fork();
    BOOST_REQUIRE(child >= 0);
    if (child == 0) {
        close(ends[0]);
        dup2(ends[1], STDOUT_FILENO);
        body();
        std::_Exit(0);
    }
    close(ends[1]);
    Ended ended;
    char buffer[1024];
    for (ssize_t count = read(ends[0], buffer, sizeof(buffer)); count > 0; count = read(ends[0], buffer, sizeof(buffer)))
        ended.output_.append(buffer, static_cast<size_t>(count));
    close(ends[0]);
    int status = 0;
    waitpid(child, &status, 0);
    ended.exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return ended;
}

static asio::awaitable<void> handleMessages(Mailbox<int> mailbox)
{
    for (;;) {
        int message = co_await mailbox.receive();
        if (message == 0)
            throw std::runtime_error("a handler failed");
        if (message == 1)
            throw "no exception type";
    }
}

static Ended runActor(std::function<void(Mailbox<int>)> use)
{
    return runInChild([&] {
        asio::io_context context;
        Mailbox<int> mailbox(context.get_executor(), 4);
        spawnActor(context.get_executor(), "counter", handleMessages(mailbox));
        context.poll();
        use(mailbox);
        context.run_for(std::chrono::seconds(5));
    });
}

BOOST_AUTO_TEST_SUITE(core_actor)

// Guards against a process that goes on without one of its actors, such as an entry that neither leads nor lets others lead.
BOOST_AUTO_TEST_CASE(process_ends_with_its_actor)
{
    Ended ended = runActor([](const Mailbox<int>& mailbox) { mailbox.tryPost(0); });
    BOOST_TEST(ended.exitCode_ == actorFailedExitCode);
    BOOST_TEST(ended.output_.find("\"actor.failed\"") != std::string::npos);
    BOOST_TEST(ended.output_.find("\"counter\"") != std::string::npos);
    BOOST_TEST(ended.output_.find("a handler failed") != std::string::npos);
    BOOST_TEST(runActor([](const Mailbox<int>& mailbox) { mailbox.tryPost(1); }).exitCode_ == actorFailedExitCode);
}

BOOST_AUTO_TEST_CASE(stopped_actor_leaves_its_process_running)
{
    Ended ended = runActor([](const Mailbox<int>& mailbox) { mailbox.close(); });
    BOOST_TEST(ended.exitCode_ == 0);
    BOOST_TEST(ended.output_.find("actor.failed") == std::string::npos);
}

static asio::awaitable<void> fail(bool isCancelled)
{
    if (isCancelled)
        throw boost::system::system_error(asio::error::operation_aborted);
    throw std::runtime_error("work failed");
    co_return;
}

static asio::awaitable<void> postOutcome(Mailbox<int> mailbox)
{
    co_await mailbox.post(7);
}

// Guards against an owner that waits for ever for work that has ended by an error, such as a leader for its write.
BOOST_AUTO_TEST_CASE(failed_work_reports_its_outcome)
{
    for (bool isCancelled : { false, true }) {
        asio::io_context context;
        Mailbox<int> mailbox(context.get_executor(), 4);
        spawnWork(context.get_executor(), "write", fail(isCancelled), [mailbox] { return postOutcome(mailbox); });
        int received = 0;
        spawnWork(
            context.get_executor(), "owner", [](Mailbox<int> mailbox, int& received) -> asio::awaitable<void> { received = co_await mailbox.receive(); }(mailbox, received), [mailbox] { return postOutcome(mailbox); });
        context.run_for(std::chrono::seconds(5));
        BOOST_TEST(received == 7);
    }
}

// Guards against an outcome that is reported twice.
BOOST_AUTO_TEST_CASE(completed_work_reports_nothing_more)
{
    asio::io_context context;
    Mailbox<int> mailbox(context.get_executor(), 4);
    bool hasReported = false;
    auto report = [&hasReported]() -> asio::awaitable<void> {
        hasReported = true;
        co_return;
    };
    spawnWork(context.get_executor(), "write", postOutcome(mailbox), report);
    context.run_for(std::chrono::seconds(5));
    BOOST_TEST(!hasReported);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor
