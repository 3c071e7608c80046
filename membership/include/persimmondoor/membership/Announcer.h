/// The actor beside a worker that announces it to every entry, again and again. Each announcement carries the digest
/// of the settings in force here, and its answer says where newer ones can be had.
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

/// Time between two announcements of an unchanged worker.
inline constexpr Duration announceInterval = std::chrono::seconds(1);

/// Told of each answer: the entry that gave it, and its hint.
using HintListener = std::function<void(const Address& entry, const settings::Hint&)>;

class Announcer {
public:
    /// Starts the actor. `announcement` is sent with rising sequence numbers.
    Announcer(const boost::asio::any_io_executor& executor, std::vector<Address> entries, Announcement announcement, HintListener listener = {});

    /// Announces that these settings are in force here; if the mailbox is full, the next change says so again.
    void report(settings::Digest) const;
    /// Announces from now on that the worker is leaving.
    void leave() const;
    /// Ends the actor.
    void stop() const { mailbox_.close(); }

private:
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

    static boost::asio::awaitable<void> run(Mailbox<Message>, std::vector<Address> entries, Announcement, HintListener);
    static boost::asio::awaitable<void> tick(Mailbox<Message>);

    Mailbox<Message> mailbox_;
};

} // namespace persimmondoor::membership
