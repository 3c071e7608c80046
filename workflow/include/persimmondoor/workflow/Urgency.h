/// The order in which jobs are served: by priority; within it those that can still meet their objective; then those that
/// can only be late; then those that have lost all their worth. Work that can no longer be on time thus never delays work
/// that can. Of those alike, jobs that have begun come first, by deadline (earliest deadline first: Liu, Layland:
/// "Scheduling algorithms for multiprogramming in a hard-real-time environment", 1973), and the others latest deadline
/// first: beyond what the workers can carry, jobs that are begun are then completed in time, instead of all being late.
///
/// \code
/// std::sort(urgencies.begin(), urgencies.end());
/// \endcode
#pragma once

#include "persimmondoor/workflow/Leader.h"

#include <compare>

namespace persimmondoor::workflow {

/// What can become of a job that is served next.
enum class Prospect : uint8_t {
    OnTime,
    Late,
    Worthless,
};

struct Urgency {
    uint32_t priority_ { 0 };
    Prospect prospect_ { Prospect::OnTime };
    bool hasNotBegun_ { false };
    /// Place among those alike, from the deadline in milliseconds since 1970 UTC.
    int64_t order_ { 0 };
    JobId job_;
    auto operator<=>(const Urgency&) const = default;
};

/// A job that ends within this many times its objective still has a part of its worth (stated by the platform).
inline constexpr int64_t lateFactor = 3;

Urgency urgencyOf(const LeaderState&, const Job&);

} // namespace persimmondoor::workflow
