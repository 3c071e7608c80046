/// Decides from which process an agent fetches a new revision. An entry serves only a few agents itself and refers the
/// others to agents that already have the revision, which bounds the load of the entry. Decisions only.
///
/// \code
/// DistributionDecision decision = decide(Distribution(), DigestAnnouncement { process, address, digest }, current, now);
/// // decision.hint_ is sent in the answer to the announcement
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/settings/Tree.h"

namespace persimmondoor::settings {

/// Agents that may fetch from the entry itself in each `directInterval`.
inline constexpr uint32_t directFetchesPerInterval = 4;
inline constexpr Duration directInterval = std::chrono::seconds(1);
/// Agents that are referred to one holder of the current digest.
inline constexpr uint32_t fetchesPerHolder = 16;
/// Holders of the current digest that an entry remembers.
inline constexpr size_t rememberedHolders = 1024;
/// Time without an announcement after which a process is dropped from the status.
inline constexpr Duration processExpiry = std::chrono::seconds(30);

/// A process announced the digest of its tree.
struct DigestAnnouncement {
    ProcessName process_;
    Address address_;
    Digest digest_ { 0 };
    auto operator<=>(const DigestAnnouncement&) const = default;
};

/// The process has the current settings; nothing to fetch.
struct UpToDate {
    auto operator<=>(const UpToDate&) const = default;
};
/// Fetch from the entry that sent the answer.
struct FetchHere {
    auto operator<=>(const FetchHere&) const = default;
};
/// Fetch from this process.
struct FetchFrom {
    Address source_;
    auto operator<=>(const FetchFrom&) const = default;
};
/// All sources are busy; retry with the next announcement.
struct AskAgain {
    auto operator<=>(const AskAgain&) const = default;
};

using Hint = std::variant<UpToDate, FetchHere, FetchFrom, AskAgain>;

/// The last announcement of a process.
struct ProcessState {
    Digest digest_ { 0 };
    Instant announcedAt_;
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
        uint32_t fetches_ { 0 };
        bool operator==(const Holder&) const = default;
    };

    Digest digest_ { 0 };
    uint32_t directFetchCount_ { 0 };
    Instant directIntervalStart_;
    std::deque<Holder> holders_;
    std::map<ProcessName, ProcessState> processes_;
};

struct DistributionDecision {
    Distribution state_;
    Hint hint_;
    bool operator==(const DistributionDecision&) const = default;
};

/// Handles an announcement; `current` is the digest of the entry's own tree. When a process announces
/// itself for the first time, processes without an announcement for `processExpiry` are dropped.
DistributionDecision decide(Distribution state, const DigestAnnouncement& message, Digest current, Instant now);

} // namespace persimmondoor::settings
