/// What has been learnt of how much filling tasks of each image disturb the long-running tasks beside them. Tasks of one
/// image behave alike, so a few readings with and without an image tell those that hurt.
///
/// \code
/// Interference learnt = observe(std::move(learnt), { { "encoder", 100 } }, 140);
/// bool apart = harms(learnt, "encoder");
/// \endcode
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmondoor::workflow {

/// A filling task that ran while the tails were read.
struct FillingTask {
    std::string image_;
    /// Share of its speed that it was given, in percent.
    uint32_t pace_ { 100 };
    auto operator<=>(const FillingTask&) const = default;
};

/// Readings for and against an image; older ones fade.
struct ImageEvidence {
    double harmless_ { 0 };
    double harmful_ { 0 };
    auto operator<=>(const ImageEvidence&) const = default;
};

struct Interference {
    std::map<std::string, ImageEvidence> images_;
    bool operator==(const Interference&) const = default;
};

enum class Harm : uint8_t {
    Unknown,
    Harmless,
    Harmful,
};

/// Takes in one reading of a worker.
/// \param tasks that fill on it.
/// \param tailPercent worst tail latency there, in percent of its target.
Interference observe(Interference, const std::vector<FillingTask>& tasks, uint64_t tailPercent);

Harm harmOf(const Interference&, const std::string& image);

} // namespace persimmondoor::workflow
