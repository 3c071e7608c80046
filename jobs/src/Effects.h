// Performs the owners' actions at the table service, the object store and the agents. Each coroutine posts its result to
// the actor's mailbox.
#pragma once

#include "persimmondoor/jobs/JobsActor.h"
#include "persimmondoor/rpc/Link.h"

namespace persimmondoor::jobs {

using JobsMailbox = Mailbox<JobsActor::Message>;

// One ownership of a partition. `fence_` is the version of the partition's row in this epoch, the condition of all writes.
struct PartitionOwnership {
    PartitionNumber partition_;
    Epoch epoch_;
    store::RowVersion fence_;
    auto operator<=>(const PartitionOwnership&) const = default;
};

// Posts a message, and retries while the mailbox is full and open. Answers of the store and of agents must not be dropped,
// as an owner may wait for them indefinitely.
boost::asio::awaitable<void> postWithRetry(JobsMailbox, JobsActor::Message);

boost::asio::awaitable<void> recoverPartition(JobsMailbox, store::TableClient, store::ObjectClient, PartitionOwnership);
boost::asio::awaitable<void> commitBatch(JobsMailbox, store::TableClient, PartitionOwnership, CommitBatch);
boost::asio::awaitable<void> readBack(JobsMailbox, store::TableClient, PartitionOwnership, Sequence);
boost::asio::awaitable<void> storeSnapshot(JobsMailbox, store::TableClient, store::ObjectClient, PartitionOwnership, Sequence through, std::string bytes);
boost::asio::awaitable<void> readDomainRows(JobsMailbox, store::TableClient);

boost::asio::awaitable<void> probeWorkers(boost::asio::any_io_executor, JobsMailbox, PartitionOwnership, std::vector<rpc::Link>, hosting::ProbeOrder);
boost::asio::awaitable<void> sendStart(JobsMailbox, PartitionOwnership, rpc::Link, SendStart);
boost::asio::awaitable<void> sendStop(JobsMailbox, PartitionOwnership, rpc::Link, SendStop);
boost::asio::awaitable<void> sendRenewal(JobsMailbox, PartitionOwnership, rpc::Link, SendRenewal);

} // namespace persimmondoor::jobs
