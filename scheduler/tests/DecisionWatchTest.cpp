#include "DecisionWatch.h"

#include "HungJobs.h"
#include "StoreStandin.h"
#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Coroutine.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <sys/wait.h>
#include <unistd.h>

namespace persimmondoor::scheduler {

namespace asio = boost::asio;

static const JobId job = JobId::of("00000000000000aa");
static constexpr WatchTuning shortWatch { std::chrono::milliseconds(5), std::chrono::milliseconds(30) };

// The first hang that the watch has reported.
class Hangs {
public:
    // The watch calls it on its own thread; the values are set before the count.
    HangHandler handler()
    {
        return [this](const std::optional<JobId>& hung, Duration took) {
            if (count_ == 0) {
                job_ = hung;
                took_ = took;
            }
            ++count_;
        };
    }
    int count() const { return count_; }
    const std::optional<JobId>& job() const { return job_; }
    Duration took() const { return took_; }

private:
    std::optional<JobId> job_;
    Duration took_ { 0 };
    std::atomic<int> count_ { 0 };
};

// Takes that much processor time of this thread.
static void compute(Duration duration)
{
    auto used = [] {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    };
    for (Duration begin = used(); used() - begin < duration;) { }
}

BOOST_AUTO_TEST_SUITE(decision_watch)

// Guards against a leader that loops without end and is not found.
BOOST_AUTO_TEST_CASE(decision_that_does_not_end_is_reported_with_its_job)
{
    Hangs hangs;
    DecisionWatch watch(shortWatch, hangs.handler());
    watch.begin();
    watch.trace().note(job);
    while (hangs.count() == 0)
        compute(std::chrono::milliseconds(1));
    watch.end();
    BOOST_TEST((hangs.job() == job));
    BOOST_TEST((hangs.took() >= shortWatch.hungAfter_));
}

// Guards against a job that is blamed for a decision that does not concern it.
BOOST_AUTO_TEST_CASE(job_of_an_earlier_decision_is_not_reported)
{
    Hangs hangs;
    DecisionWatch watch(shortWatch, hangs.handler());
    watch.begin();
    watch.trace().note(job);
    watch.end();
    watch.begin();
    while (hangs.count() == 0)
        compute(std::chrono::milliseconds(1));
    watch.end();
    BOOST_TEST(!hangs.job().has_value());
}

// Guards against a healthy job that is left out as its leader was suspended or waited.
BOOST_AUTO_TEST_CASE(decision_that_takes_no_processor_time_is_not_reported)
{
    Hangs hangs;
    DecisionWatch watch(shortWatch, hangs.handler());
    asio::io_context context;
    asio::steady_timer timer(context, std::chrono::milliseconds(300));
    watch.begin();
    timer.wait();
    watch.end();
    BOOST_TEST(hangs.count() == 0);
}

// Guards against a busy leader that is taken for a hung one.
BOOST_AUTO_TEST_CASE(decisions_that_end_are_not_reported)
{
    Hangs hangs;
    DecisionWatch watch(shortWatch, hangs.handler());
    for (int decision = 0; decision < 200; ++decision) {
        watch.begin();
        watch.trace().note(job);
        compute(std::chrono::milliseconds(1));
        watch.end();
    }
    BOOST_TEST(hangs.count() == 0);
}

// Guards against a hung leader that ends without naming the job, or does not end.
BOOST_AUTO_TEST_CASE(job_is_written_to_the_store_before_the_process_ends)
{
    asio::io_context context;
    auto store = *platform::StoreStandin::start(context.get_executor(), *Address::parse("127.0.0.1:0"));
    Address address = store->address();
    context.notify_fork(asio::execution_context::fork_prepare);
    pid_t child = fork();
    if (child == 0)
        isolateJobAndExit(address, job, "a decision did not end", "entry-1");
    BOOST_REQUIRE(child > 0);
    context.notify_fork(asio::execution_context::fork_parent);
    context.run_for(std::chrono::seconds(3));
    int status = 0;
    BOOST_REQUIRE(waitpid(child, &status, 0) == child);
    BOOST_TEST(WIFEXITED(status));
    BOOST_TEST(WEXITSTATUS(status) == actorFailedExitCode);
    BOOST_TEST(store->read("hung", job.value()) == R"({"reason":"a decision did not end","entry":"entry-1"})");
}

BOOST_AUTO_TEST_CASE(rows_name_the_jobs_to_leave_out)
{
    std::set<JobId> jobs = hungJobsOf({ { "hung/00000000000000aa", "{}", {} }, { "hung/?", "{}", {} } });
    BOOST_TEST((jobs == std::set<JobId> { job }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::scheduler
