/// The actor beside a worker that announces it to every entry, again and again.
///
/// \code
/// Announcer announcer(executor, entryAddresses, announcement);
/// announcer.leave(); // tells the entries to send nothing new
/// \endcode
#pragma once

#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/membership/Announcement.h"

#include <variant>

namespace persimmondoor::membership {

/// Time between two announcements of an unchanged worker.
inline constexpr Duration announceInterval = std::chrono::seconds(1);

class Announcer {
public:
    /// Starts the actor. `announcement` is sent with rising sequence numbers.
    Announcer(const boost::asio::any_io_executor& executor, std::vector<Address> entries, Announcement announcement);

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
    using Message = std::variant<Due, Leave>;

    static boost::asio::awaitable<void> run(Mailbox<Message>, std::vector<Address> entries, Announcement);
    static boost::asio::awaitable<void> tick(Mailbox<Message>);

    Mailbox<Message> mailbox_;
};

} // namespace persimmondoor::membership
