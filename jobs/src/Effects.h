// What the actor does at the platform's services and at agents. Each coroutine ends with one message to the mailbox.
#pragma once

#include "persimmondoor/jobs/JobsActor.h"
#include "persimmondoor/rpc/Link.h"

namespace persimmondoor::jobs {

using JobsMailbox = Mailbox<JobsActor::Message>;

// One ownership of a partition.
struct Holding {
    PartitionNumber partition_;
    Epoch epoch_;
    store::RowVersion fence_;
    auto operator<=>(const Holding&) const = default;
};

// Posts, and tries again while the mailbox is full: messages of the store and of agents must not be dropped, as the
// decisions wait for them.
boost::asio::awaitable<void> postSurely(JobsMailbox, JobsActor::Message);

boost::asio::awaitable<void> recoverPartition(JobsMailbox, store::TableClient, store::ObjectClient, Holding);
boost::asio::awaitable<void> commitBatch(JobsMailbox, store::TableClient, Holding, CommitBatch);
boost::asio::awaitable<void> readBack(JobsMailbox, store::TableClient, Holding, Sequence);
boost::asio::awaitable<void> storeSnapshot(JobsMailbox, store::TableClient, store::ObjectClient, Holding, Sequence through, std::string bytes);
boost::asio::awaitable<void> readDomainRows(JobsMailbox, store::TableClient);

boost::asio::awaitable<void> probeWorkers(boost::asio::any_io_executor, JobsMailbox, Holding, std::vector<rpc::Link>, hosting::ProbeOrder);
boost::asio::awaitable<void> sendStart(JobsMailbox, Holding, rpc::Link, SendStart);
boost::asio::awaitable<void> sendStop(JobsMailbox, Holding, rpc::Link, SendStop);
boost::asio::awaitable<void> sendRenewal(JobsMailbox, Holding, rpc::Link, SendRenewal);

} // namespace persimmondoor::jobs
