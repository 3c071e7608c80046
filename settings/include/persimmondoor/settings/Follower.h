/// Keeps a process's settings up to date: an entry from the store and its peers, an agent from where the answers to
/// its announcements point.
///
/// \code
/// Follower follower(executor, settings);
/// follower.hint(entryAddress, hint);
/// \endcode
#pragma once

#include "persimmondoor/settings/SettingsActor.h"
#include "persimmondoor/settings/Team.h"
#include "persimmondoor/store/TableClient.h"

namespace persimmondoor::settings {

/// Time between two looks at the store by an entry.
inline constexpr Duration storePollInterval = std::chrono::seconds(8);
/// Time between two attempts of an entry that knows no settings yet.
inline constexpr Duration firstPollInterval = std::chrono::seconds(1);

/// The agent's side: fetches one change at a time.
class Follower {
public:
    Follower(const boost::asio::any_io_executor&, SettingsActor);

    /// Fetches from where `hint` points; `entry` gave it. Dropped while a fetch is under way, as the next answer
    /// repeats it.
    void hint(const Address& entry, const Hint& hint) const;
    void stop() const { sources_.close(); }

private:
    Mailbox<Address> sources_;
};

/// A first subtree from the site file.
struct Seed {
    SubtreeName name_;
    std::string text_;
    auto operator<=>(const Seed&) const = default;
};

/// The entry's side: reads the store, at first also the peers, writes `seeds` where the store has no row, and goes on
/// until `settings` is stopped.
boost::asio::awaitable<void> keepSettings(SettingsActor settings, store::TableClient table, std::vector<Address> peers, std::vector<Seed> seeds);

} // namespace persimmondoor::settings
