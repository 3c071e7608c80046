/// The actor beside a worker that announces it to every entry: whole at first and when an entry asks for it, and by a
/// small keepalive at the interval that the entry gives. Each message carries the digest of the settings in force here,
/// and its answer says where newer ones can be had.
///
/// \code
/// Announcer announcer(executor, entryAddresses, announcement);
/// announcer.leave(); // tells the entries to send nothing new
/// \endcode
#pragma once

#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/membership/Announcement.h"
#include "persimmondoor/settings/Distribution.h"

#include <functional>
#include <variant>

namespace persimmondoor::membership {

/// Time until an entry that could not be reached is tried again.
inline constexpr Duration announceRetryInterval = std::chrono::seconds(1);

/// Told of each answer: the entry that gave it, and its hint.
using HintListener = std::function<void(const Address& entry, const settings::Hint&)>;

class Announcer {
public:
    /// Starts one actor for each entry. `announcement` is sent with sequence numbers that rise with the time.
    Announcer(const boost::asio::any_io_executor& executor, const std::vector<Address>& entries, const Announcement& announcement, const HintListener& listener = {});

    /// Tells the entries at once that these settings are in force here; if a mailbox is full, the next message says so.
    void report(settings::Digest) const;
    /// Announces at once, and from now on, that the worker is leaving.
    void leave() const;
    /// Ends the actors.
    void stop() const;

    struct Due {
        auto operator<=>(const Due&) const = default;
    };
    struct Leave {
        auto operator<=>(const Leave&) const = default;
    };
    struct Report {
        settings::Digest digest_ { 0 };
        auto operator<=>(const Report&) const = default;
    };
    using Message = std::variant<Due, Leave, Report>;

private:
    std::vector<Mailbox<Message>> mailboxes_;
};

} // namespace persimmondoor::membership
