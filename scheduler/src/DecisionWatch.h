// Finds decisions that do not end. A leader that loops would take all its processor time, and each successor would restore the same
// rows and loop as well.
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/workflow/DecisionTrace.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <thread>
#include <time.h>

namespace persimmondoor::scheduler {

struct WatchTuning {
    // Interval of the checks, each of which wakes the process up.
    Duration interval_ { std::chrono::milliseconds(2000) };
    // A message whose handling has taken this much processor time hangs; the longest takes some tens of milliseconds. Not wall time,
    // as a process may be suspended or get a small share of a slow processor.
    Duration hungAfter_ { std::chrono::milliseconds(1000) };
    bool operator==(const WatchTuning&) const = default;
};

// Called by the watch with the job that the decision was concerned with, if it is known, and the processor time taken. Runs on the
// watch's thread, as that of the decision is busy.
using HangHandler = std::function<void(std::optional<JobId>, Duration)>;

// Watches the thread that handles the scheduler's messages, on a thread and an event loop of its own. The watched thread leaves only
// atomic marks, as a thread that hangs sends no message.
class DecisionWatch {
public:
    DecisionWatch(WatchTuning, HangHandler);
    ~DecisionWatch();
    DecisionWatch(const DecisionWatch&) = delete;
    DecisionWatch& operator=(const DecisionWatch&) = delete;

    // Called before and after a message is handled, always by the same thread.
    void begin();
    void end();

    // What the decisions note while a message is handled.
    workflow::DecisionTrace& trace() { return trace_; }

private:
    boost::asio::awaitable<void> run();
    void check();
    // Processor time of the watched thread; nothing before `begin`, or if the system does not tell.
    std::optional<Duration> processorTime() const;

    WatchTuning tuning_;
    HangHandler handler_;
    workflow::DecisionTrace trace_;
    // Rises with each begin and each end, so that it is odd while a message is handled.
    std::atomic<uint64_t> serial_ { 0 };
    std::atomic<bool> hasClock_ { false };
    clockid_t clock_ {};
    // The serial that the last check found, and the processor time at the first check that found it.
    uint64_t lastSerial_ { 0 };
    std::optional<Duration> firstTime_;
    boost::asio::io_context loop_;
    std::thread thread_;
};

} // namespace persimmondoor::scheduler
