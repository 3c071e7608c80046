/// Actor of each entry and agent that claims, renews and releases job partitions.
///
/// \code
/// auto listener = [jobs](const OwnershipChange& change) { jobs.handleOwnershipChange(change); };
/// OwnershipActor ownership = *OwnershipActor::create(executor, clock, table, settings, listener);
/// co_await ownership.release();
/// \endcode
#pragma once

#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/leases/Ownership.h"
#include "persimmondoor/store/TableClient.h"

#include <functional>

namespace persimmondoor::leases {

/// Called on the actor's executor for each change, in order. The listener must not block.
using OwnershipListener = std::function<void(const OwnershipChange&)>;

class OwnershipActor {
public:
    /// Starts the actor on `executor`.
    /// \return a handle of the actor, or InvalidArgument under the conditions of `Ownership::create`.
    static absl::StatusOr<OwnershipActor> create(const boost::asio::any_io_executor& executor, Clock clock, store::TableClient table, OwnershipSettings settings, OwnershipListener listener);

    /// Releases every partition and ends the actor. The listener is notified of each loss before the row is written. If
    /// the store does not answer, the actor ends after a few attempts, and other processes take over the partitions
    /// once the lease has expired.
    boost::asio::awaitable<void> release() const;
    /// Ends the actor at once without releasing anything, as a crash would.
    void stop() const { mailbox_.close(); }

    /// The step interval has passed.
    struct Tick {
    };
    struct ReleasePartitions {
        Reply<bool> done_;
    };
    using Message = std::variant<Tick, ReleasePartitions>;

private:
    explicit OwnershipActor(Mailbox<Message> mailbox)
        : mailbox_(std::move(mailbox))
    {
    }

    Mailbox<Message> mailbox_;
};

} // namespace persimmondoor::leases
