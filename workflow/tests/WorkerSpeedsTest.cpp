// The speed of workers from the progress of their runs, and what follows for waits and moves, by themselves.
#include "persimmondoor/workflow/WorkerSpeeds.h"

#include <boost/test/unit_test.hpp>

namespace persimmondoor::workflow {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr int64_t readingMs = 500;

static RunKey runOf(uint32_t number)
{
    return { { JobId::of("00000000000000aa"), 0, 0, number }, 1 };
}

static Tuning comparingTuning()
{
    Tuning tuning;
    tuning.slowWorkerPercent_ = 250;
    return tuning;
}

// A worker that is read every half second.
class ReadWorker {
public:
    // \param slowdowns of the runs that the reading shows, numbered from `first` on.
    void read(const std::vector<double>& slowdowns, uint32_t first = 0)
    {
        std::vector<PaceSample> samples;
        samples.reserve(slowdowns.size());
        for (double slowdown : slowdowns)
            samples.push_back({ runOf(first++), logSlowdown({ milliseconds(static_cast<int64_t>(slowdown * 1000)), 100 }, seconds(1)) });
        nowMs_ += readingMs;
        speed_ = addReading(std::move(speed_), std::move(samples), comparingTuning(), Instant::fromMicroseconds(nowMs_ * 1000));
    }
    bool isSlow() const { return speed_.isSlow_; }
    const WorkerSpeed& speed() const { return speed_; }

private:
    int64_t nowMs_ { 1'000'000 };
    WorkerSpeed speed_;
};

BOOST_AUTO_TEST_SUITE(worker_speeds)

BOOST_AUTO_TEST_CASE(worker_that_turns_slow_is_found_in_two_readings)
{
    ReadWorker worker;
    for (int count = 0; count < 2; ++count)
        worker.read({ 8, 7, 9 });
    BOOST_TEST(worker.isSlow());
    BOOST_TEST(worker.speed().slowdown() > 2.5);
}

BOOST_AUTO_TEST_CASE(one_odd_run_makes_no_worker_slow)
{
    ReadWorker alone;
    ReadWorker beside;
    for (int count = 0; count < 40; ++count) {
        alone.read({ 8 });
        beside.read({ 8, 1 });
        BOOST_TEST(!alone.isSlow());
        BOOST_TEST(!beside.isSlow());
    }
}

BOOST_AUTO_TEST_CASE(worker_on_which_every_other_run_is_declared_far_too_short_is_steady)
{
    ReadWorker worker;
    for (uint32_t count = 0; count < 40; ++count) {
        worker.read({ count % 2 == 0 ? 20.0 : 1.0 }, count);
        BOOST_TEST(!worker.isSlow());
    }
}

BOOST_AUTO_TEST_CASE(worker_with_one_slow_run_after_another_is_found)
{
    ReadWorker worker;
    worker.read({ 8 }, 1);
    BOOST_TEST(!worker.isSlow());
    worker.read({ 8 }, 2);
    BOOST_TEST(worker.isSlow());
}

BOOST_AUTO_TEST_CASE(worker_back_at_full_speed_is_steady_within_three_seconds)
{
    ReadWorker worker;
    for (int count = 0; count < 20; ++count)
        worker.read({ 8, 8 });
    for (int count = 0; count < 6; ++count)
        worker.read({ 1, 1 });
    BOOST_TEST(!worker.isSlow());
}

BOOST_AUTO_TEST_CASE(idle_slow_worker_is_tried_again)
{
    ReadWorker worker;
    for (int count = 0; count < 20; ++count)
        worker.read({ 8, 8 });
    worker.read({});
    BOOST_TEST(worker.isSlow());
    for (int count = 0; count < 40; ++count)
        worker.read({});
    BOOST_TEST(!worker.isSlow());
}

BOOST_AUTO_TEST_CASE(job_declared_far_too_short_is_compared_with_its_own_tasks)
{
    // Declared as 100 ms; five others were read to take 1 s.
    Duration expected = expectedRunTime(milliseconds(100), { seconds(5), 500 });
    BOOST_TEST((expected > milliseconds(800)));
    BOOST_TEST(logSlowdown({ milliseconds(500), 50 }, expected) < 0.5);
    BOOST_TEST((expectedRunTime(milliseconds(100), {}) == milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(whole_percents_of_a_long_run_tell_no_pace)
{
    BOOST_TEST(!isTelling(milliseconds(500), seconds(60)));
    BOOST_TEST(!isTelling(milliseconds(100), milliseconds(200)));
    BOOST_TEST(isTelling(milliseconds(500), seconds(2)));
}

static SlowOffer offerOf(Duration waited)
{
    SlowOffer offer;
    offer.since_ = Instant::fromMicroseconds(1'000'000);
    offer.now_ = offer.since_ + waited;
    offer.runTime_ = milliseconds(800);
    offer.slowdown_ = 8;
    offer.slowWorkers_ = 1;
    offer.workers_ = 10;
    return offer;
}

BOOST_AUTO_TEST_CASE(wait_lasts_at_most_as_long_as_the_run_is_longer)
{
    BOOST_TEST(paysToWait(offerOf(milliseconds(0)), Tuning()));
    BOOST_TEST(paysToWait(offerOf(milliseconds(5500)), Tuning()));
    BOOST_TEST(!paysToWait(offerOf(milliseconds(5600)), Tuning()));
}

BOOST_AUTO_TEST_CASE(standing_job_takes_the_slow_worker_of_a_service_with_free_room)
{
    SlowOffer offer = offerOf(milliseconds(0));
    offer.standstill_ = Tuning().maximumStandingWait_;
    BOOST_TEST(!paysToWait(offer, Tuning()));
}

BOOST_AUTO_TEST_CASE(no_task_waits_where_most_workers_are_slow)
{
    SlowOffer offer = offerOf(milliseconds(0));
    offer.slowWorkers_ = 5;
    BOOST_TEST(!paysToWait(offer, Tuning()));
}

BOOST_AUTO_TEST_CASE(run_is_moved_only_where_it_ends_far_sooner)
{
    const Duration runTime = seconds(2);
    BOOST_TEST(paysToMove({ 10, false, runTime, 8 }, Tuning()));
    // What is left takes less than the work that a move throws away.
    BOOST_TEST(!paysToMove({ 80, false, runTime, 8 }, Tuning()));
    BOOST_TEST(!paysToMove({ 10, false, runTime, 2.5 }, Tuning()));
    BOOST_TEST(paysToMove({ 50, true, runTime, 8 }, Tuning()));
}

BOOST_AUTO_TEST_CASE(longest_declared_time_is_compared_without_overflow)
{
    // The bound on declared times, twice over, as a queue whose runs take twice as long as declared corrects it.
    const Duration runTime = std::chrono::microseconds(int64_t(1) << 54);
    BOOST_TEST(paysToMove({ 0, false, runTime, 8 }, Tuning()));
    BOOST_TEST(!paysToMove({ 0, false, runTime, 1.9 }, Tuning()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
