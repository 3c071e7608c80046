/// Announces a worker to every entry. An entry first receives the full announcement, then a short keepalive at the
/// interval that its answers set, and the full announcement again when the entry requests it. Each message carries the digest
/// of the agent's settings, and each answer says where newer settings can be fetched.
///
/// \code
/// Announcer announcer(executor, entryAddresses, announcement);
/// announcer.leave(); // entries stop sending new requests to this worker
/// \endcode
#pragma once

#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/membership/Announcement.h"
#include "persimmondoor/settings/Distribution.h"

#include <functional>
#include <variant>

namespace persimmondoor::membership {

/// Time until an entry is contacted again that did not answer, or whose sources of newer settings are busy. Also the
/// minimum interval of keepalives.
inline constexpr Duration announceRetryInterval = std::chrono::seconds(1);

/// Called for each answer, with the entry that sent it and the answer's hint about newer settings.
using HintListener = std::function<void(const Address& entry, const settings::Hint&)>;

class Announcer {
public:
    /// Starts one actor for each entry. `announcement` is sent with sequence numbers that increase with time.
    Announcer(const boost::asio::any_io_executor& executor, const std::vector<Address>& entries, const Announcement& announcement, const HintListener& listener = {});

    /// Sends the digest of the agent's settings to all entries at once. Dropped for an entry whose mailbox is full: this
    /// entry receives the digest of an earlier report until the next one.
    void report(settings::Digest) const;
    /// Announces, at once and in all later announcements, that the worker is leaving. Dropped for an entry whose mailbox
    /// is full.
    void leave() const;
    /// Stops the actors.
    void stop() const;

    /// The next announcement or keepalive is due.
    struct Tick {
        auto operator<=>(const Tick&) const = default;
    };
    struct Leave {
        auto operator<=>(const Leave&) const = default;
    };
    struct Report {
        settings::Digest digest_ { 0 };
        auto operator<=>(const Report&) const = default;
    };
    using Message = std::variant<Tick, Leave, Report>;

private:
    std::vector<Mailbox<Message>> mailboxes_;
};

} // namespace persimmondoor::membership
