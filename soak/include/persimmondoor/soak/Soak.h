/// Runs the real programs as separate processes on loopback addresses, injects the faults of a seed from outside and checks
/// the promises meanwhile.
///
/// \code
/// absl::StatusOr<SoakResult> result = runSeed(options, 17);
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/soak/FaultPlan.h"
#include "persimmondoor/soak/Promises.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <vector>

namespace persimmondoor::soak {

struct SoakOptions {
    /// Path of the program under test.
    std::string program_;
    /// First two numbers of the loopback addresses, such as "127.40"; soaks that run at the same time need different ones.
    std::string network_ { "127.40" };
    /// Folder for deployment files and logs; must exist.
    std::string folder_;
    Fleet fleet_;
    /// Time within which faults begin.
    Duration trouble_ { std::chrono::seconds(12) };
    /// Longest time after it for all accepted jobs to end.
    Duration settling_ { std::chrono::seconds(60) };
    /// Bound on the resident size of each process, in bytes.
    uint64_t memoryBytes_ { 128'000'000 };
    bool isVerbose_ { false };
    bool operator==(const SoakOptions&) const = default;
};

struct SoakResult {
    uint64_t seed_ { 0 };
    size_t faults_ { 0 };
    uint32_t submitted_ { 0 };
    uint32_t accepted_ { 0 };
    uint32_t refused_ { 0 };
    uint32_t cancelled_ { 0 };
    uint32_t completed_ { 0 };
    uint32_t starts_ { 0 };
    /// Largest resident size of an entry and of an agent.
    uint64_t entryBytes_ { 0 };
    uint64_t agentBytes_ { 0 };
    Duration duration_ { 0 };
    /// With their times since the begin of the run.
    std::vector<std::pair<Duration, Violation>> violations_;
    bool operator==(const SoakResult&) const = default;
};

/// Runs one seed to its end.
/// \return what was seen, or why the run could not begin.
absl::StatusOr<SoakResult> runSeed(const SoakOptions&, uint64_t seed);

} // namespace persimmondoor::soak
