/// Decides where an agent gets a new revision from, so that an entry sends each change to a few agents only and these
/// pass it on: decisions only.
///
/// \code
/// DistributionDecision decision = decide(Distribution(), Heard { process, address, digest }, current, now);
/// // decision.hint_ goes into the answer to the announcement
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/settings/Tree.h"

namespace persimmondoor::settings {

/// Agents that are told to fetch from the entry itself, in each interval.
inline constexpr uint32_t directFetches = 4;
inline constexpr Duration directInterval = std::chrono::seconds(1);
/// Agents that one holder of a digest passes it on to.
inline constexpr uint32_t fetchesPerHolder = 16;
/// Holders of the current digest that an entry remembers.
inline constexpr size_t rememberedHolders = 1024;
/// A process not heard of for this long is left out of the status.
inline constexpr Duration processExpiry = std::chrono::seconds(30);

/// A process said which digest it has.
struct Heard {
    ProcessName process_;
    Address address_;
    Digest digest_ { 0 };
    auto operator<=>(const Heard&) const = default;
};

/// Nothing to fetch.
struct UpToDate {
    auto operator<=>(const UpToDate&) const = default;
};
/// Fetch from the entry that answers.
struct FetchHere {
    auto operator<=>(const FetchHere&) const = default;
};
/// Fetch from this process.
struct FetchFrom {
    Address source_;
    auto operator<=>(const FetchFrom&) const = default;
};
/// All sources are busy: ask again with the next announcement.
struct AskAgain {
    auto operator<=>(const AskAgain&) const = default;
};

using Hint = std::variant<UpToDate, FetchHere, FetchFrom, AskAgain>;

/// What a process said last.
struct ProcessState {
    Digest digest_ { 0 };
    Instant heardAt_;
    auto operator<=>(const ProcessState&) const = default;
};

class Distribution {
public:
    const std::map<ProcessName, ProcessState>& processes() const { return processes_; }
    bool operator==(const Distribution&) const = default;

private:
    friend struct DistributionRules;
    struct Holder {
        Address address_;
        uint32_t uses_ { 0 };
        bool operator==(const Holder&) const = default;
    };

    Digest digest_ { 0 };
    uint32_t direct_ { 0 };
    Instant directSince_;
    std::deque<Holder> holders_;
    std::map<ProcessName, ProcessState> processes_;
};

struct DistributionDecision {
    Distribution state_;
    Hint hint_;
    bool operator==(const DistributionDecision&) const = default;
};

/// Answers `message` when the entry's own digest is `current`. Forgets processes that fell silent.
DistributionDecision decide(Distribution state, const Heard& message, Digest current, Instant now);

} // namespace persimmondoor::settings
