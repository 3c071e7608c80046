/// The actor in each entry and agent that claims, renews and gives back job partitions.
///
/// \code
/// OwnershipActor ownership = *OwnershipActor::create(executor, clock, table, settings, [jobs](const OwnershipChange& change) { jobs.learn(change); });
/// co_await ownership.giveBack();
/// \endcode
#pragma once

#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/leases/Ownership.h"
#include "persimmondoor/store/TableClient.h"

#include <functional>

namespace persimmondoor::leases {

/// Called on the actor's executor, in order, for each change. Must not block.
using OwnershipListener = std::function<void(const OwnershipChange&)>;

class OwnershipActor {
public:
    /// Starts the actor on `executor`.
    /// \return its handle, or InvalidArgument as `Ownership::create`.
    static absl::StatusOr<OwnershipActor> create(const boost::asio::any_io_executor& executor, Clock clock, store::TableClient table, OwnershipSettings settings, OwnershipListener listener);

    /// Gives every partition back and ends. The listener hears of each loss before its row is written. With the store
    /// down it ends after a few tries; the partitions are then taken over when the lease has lapsed.
    boost::asio::awaitable<void> giveBack() const;
    /// Ends the actor at once, as a crash would: nothing is given back.
    void stop() const { mailbox_.close(); }

    /// Time for the next step.
    struct Tick {
    };
    struct GiveBack {
        Reply<bool> done_;
    };
    using Message = std::variant<Tick, GiveBack>;

private:
    explicit OwnershipActor(Mailbox<Message> mailbox)
        : mailbox_(std::move(mailbox))
    {
    }

    Mailbox<Message> mailbox_;
};

} // namespace persimmondoor::leases
