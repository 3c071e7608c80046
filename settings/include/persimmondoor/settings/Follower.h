/// Keeps the settings of a process up to date. An entry polls the store, and asks its peers while it has no settings. An
/// agent fetches from the process that the hint in the answer to its announcement names.
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

/// Time between two polls of the store by an entry.
inline constexpr Duration storePollInterval = std::chrono::seconds(8);
/// Time until the next poll of an entry if neither the store nor a peer answered, or while its seeds are not written yet.
inline constexpr Duration firstPollInterval = std::chrono::seconds(1);

/// Runs in an agent. Fetches changes one after another.
class Follower {
public:
    Follower(const boost::asio::any_io_executor&, SettingsActor);

    /// Fetches from the process that `hint` names; `entry` is the entry that sent it. The hint is dropped if another one
    /// is already waiting, as the next answer repeats it.
    void hint(const Address& entry, const Hint& hint) const;
    void stop() const { sources_.close(); }

private:
    Mailbox<Address> sources_;
};

/// First revision of a subtree, from the site file.
struct Seed {
    SubtreeName name_;
    std::string text_;
    auto operator<=>(const Seed&) const = default;
};

/// Runs in an entry. Polls the store; asks `peers` if the store cannot be read and no settings are known yet; writes each
/// of `seeds` that the store has no row for. Does not return.
boost::asio::awaitable<void> synchronizeSettings(SettingsActor settings, store::TableClient table, std::vector<Address> peers, std::vector<Seed> seeds);

} // namespace persimmondoor::settings
