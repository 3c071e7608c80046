/// What has been learnt of which filling tasks disturb which long-running tasks. Tasks of one image behave alike, and how
/// much they disturb depends on the pair of images, so a few readings of a pair tell whether it may share a worker.
///
/// \code
/// Interference learnt = observe(std::move(learnt), { { "encoder", 100 } }, { { "search", 140 } });
/// bool apart = harmOf(learnt, "encoder", "search") == Harm::Harmful;
/// \endcode
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmondoor::workflow {

/// A filling task that ran while the tails were read.
struct FillingTask {
    std::string image_;
    /// Share of its speed that it was given, in percent.
    uint32_t pace_ { 100 };
    auto operator<=>(const FillingTask&) const = default;
};

/// A long-running task and its tail latency, in percent of its target.
struct TailReading {
    std::string image_;
    uint64_t tailPercent_ { 0 };
    auto operator<=>(const TailReading&) const = default;
};

/// Readings for and against a pair; older ones fade.
struct PairEvidence {
    double harmless_ { 0 };
    double harmful_ { 0 };
    auto operator<=>(const PairEvidence&) const = default;
};

struct Interference {
    /// By the images of the filling and of the long-running task.
    std::map<std::pair<std::string, std::string>, PairEvidence> pairs_;
    bool operator==(const Interference&) const = default;
};

enum class Harm : uint8_t {
    Harmless,
    Unknown,
    Harmful,
};

/// Takes in one reading of a worker.
Interference observe(Interference, const std::vector<FillingTask>&, const std::vector<TailReading>&);

/// What a filling task would do to one long-running task.
Harm harmOf(const Interference&, const std::string& filling, const std::string& longRunning);

/// The worst that a filling task would do to any of the long-running tasks on a worker.
Harm worstHarm(const Interference&, const std::string& filling, const std::set<std::string>& longRunning);

} // namespace persimmondoor::workflow
