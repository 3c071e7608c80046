// Keeps what has been seen in one run, and the promises that were broken.
#pragma once

#include "persimmondoor/soak/Promises.h"

#include <cstdint>
#include <utility>

namespace persimmondoor::soak {

// Counts for the table.
struct Tally {
    uint32_t submitted_ { 0 };
    uint32_t accepted_ { 0 };
    uint32_t refused_ { 0 };
    uint32_t cancelled_ { 0 };
    uint32_t completed_ { 0 };
    uint32_t starts_ { 0 };
    auto operator<=>(const Tally&) const = default;
};

class Recorder {
public:
    explicit Recorder(Clock clock)
        : clock_(std::move(clock))
        , beganAt_(now(clock_))
    {
    }

    void record(const Event& event)
    {
        Observation seen = observe(std::move(promises_), event, now(clock_));
        promises_ = std::move(seen.state_);
        violations_.insert(violations_.end(), seen.violations_.begin(), seen.violations_.end());
    }

    Duration elapsed() const { return now(clock_) - beganAt_; }
    Duration sinceBegin(Instant time) const { return time - beganAt_; }
    const Promises& promises() const { return promises_; }
    const std::vector<Violation>& violations() const { return violations_; }
    Tally& tally() { return tally_; }
    const Tally& tally() const { return tally_; }

private:
    Clock clock_;
    Instant beganAt_;
    Promises promises_;
    std::vector<Violation> violations_;
    Tally tally_;
};

} // namespace persimmondoor::soak
