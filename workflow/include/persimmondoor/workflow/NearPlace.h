/// How long a task waits for a place near its data, or near the other members of its gang, while it could start at once on
/// another rack where it takes longer. The wait is worth at most the time that a near run saves, so that a task never takes
/// much more than twice as long as with the better of the two places (Karlin and others: "Competitive snoopy caching", 1988).
///
/// \code
/// PlaceDecision decision = choosePlace(options, tuning);
/// if (const auto* wait = std::get_if<WaitUntil>(&decision))
///     reconsiderBy(wait->moment_);
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/workflow/Job.h"
#include "persimmondoor/workflow/Tuning.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace persimmondoor::workflow {

/// Why a task does not wait for a near place, or does not any longer.
enum class FarReason : uint8_t {
    /// A near run saves too little.
    LittleGain,
    /// No worker of the rack accepts runs and can ever have the room.
    NoNearWorker,
    /// A near worker has the room, and is closed to this task for another reason.
    ClosedToTask,
    /// A near place opens too late to be worth the wait.
    OpensTooLate,
    /// The job would miss its objective.
    ObjectiveAtRisk,
    /// Nothing of the job runs.
    StandsStill,
};

/// Start near the data or the gang.
struct StartNear {
    auto operator<=>(const StartNear&) const = default;
};
/// Start now on another rack.
struct StartFar {
    FarReason reason_ { FarReason::LittleGain };
    auto operator<=>(const StartFar&) const = default;
};
/// Wait for a near place, until this moment at the latest.
struct WaitUntil {
    Instant moment_;
    auto operator<=>(const WaitUntil&) const = default;
};
using PlaceDecision = std::variant<StartNear, StartFar, WaitUntil>;

/// What the choice between a near and a far place depends on.
struct PlaceOptions {
    Instant now_;
    /// Expected time of a near run, and how many times as long a far one takes.
    Duration runTime_ { 0 };
    double farFactor_ { 1 };
    /// A near worker can take the task now.
    bool isNearOpen_ { false };
    /// When a near worker is expected to have room for it, after those that wait before it; empty for never.
    std::optional<Instant> nearOpensAt_;
    /// When the task has to be done for its job to meet its objective; empty if the job has none.
    std::optional<Instant> onTimeBy_;
    /// Since when the task has waited for a near place; now if it has not.
    Instant waitingSince_;
    /// Since when nothing of the job has run; empty while a run of it may be at work or is about to start.
    std::optional<Instant> standsStillSince_;
    /// Other tasks wait for room.
    bool isRoomContended_ { false };
    auto operator<=>(const PlaceOptions&) const = default;
};

/// Chooses between a near place, a far place, and a bounded wait for a near one. To be asked again at each change: a moment
/// that was stated earlier does not bind.
PlaceDecision choosePlace(const PlaceOptions&, const Tuning&);

/// Mean ratio of the times that runs took to their estimates; recent runs weigh more.
struct RunTimeRatio {
    uint32_t runs_ { 0 };
    double ratio_ { 1 };
    auto operator<=>(const RunTimeRatio&) const = default;
};

/// What near and far runs have taken under this leader.
struct DistanceCost {
    RunTimeRatio near_;
    RunTimeRatio far_;
    auto operator<=>(const DistanceCost&) const = default;
};

/// Adds the run of a task with data, which has ended as done.
/// \param worked time from the first listing of the run to its end.
DistanceCost addRun(DistanceCost, bool isNear, Duration worked, Duration estimate);
/// How many times as long a far run takes: the setting, corrected within bounds once enough runs have ended. 1 if the setting
/// is 1.
double farFactorOf(const DistanceCost&, const Tuning&);
/// Expected time of a near run: the estimate, corrected in the same way.
Duration nearRunTimeOf(const DistanceCost&, const Tuning&, Duration estimate);

/// A task, or a gang by its first member, that waits for a near place.
struct NearWait {
    /// Rack of the place.
    std::string rack_;
    Instant since_;
    Instant until_;
    /// The time that the near run saves.
    Duration gain_ { 0 };
    auto operator<=>(const NearWait&) const = default;
};

/// State of the leader on near places. None of it is stored: a new leader begins each wait and the measurements anew.
struct NearPlaces {
    std::map<TaskKey, NearWait> waits_;
    DistanceCost cost_;
    /// Log lines since then, and those that were left out.
    Instant linesSince_;
    size_t lines_ { 0 };
    size_t omittedLines_ { 0 };
    bool operator==(const NearPlaces&) const = default;
};

/// Text of the reason for log lines.
std::string_view describe(FarReason);

} // namespace persimmondoor::workflow
