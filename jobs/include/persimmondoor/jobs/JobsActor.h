/// The actor that runs the owners of the job partitions of this process. When the process gains a partition, the actor
/// recovers it from the snapshot and the journal; then it passes messages to the partition's owner and performs the
/// owner's actions at the table service, the object store and the agents.
///
/// \code
/// JobsActor jobs = JobsActor::create(executor, clock, { table, objects, quotas, workers });
/// jobs.handleOwnershipChange(leases::Gained { ... });
/// JobsAnswer answer = co_await jobs.ask(partition, ShowJob { id });
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/jobs/Owner.h"
#include "persimmondoor/jobs/Requests.h"
#include "persimmondoor/leases/Ownership.h"
#include "persimmondoor/store/ObjectClient.h"
#include "persimmondoor/store/TableClient.h"

namespace persimmondoor::jobs {

/// Time-out of a request; after it the outcome is unknown.
inline constexpr Duration requestTimeout = std::chrono::seconds(8);

struct WorkerAddress {
    KnownWorker worker_;
    Address address_;
    bool operator==(const WorkerAddress&) const = default;
};

/// The services, quotas and workers that the actor uses.
struct JobsEnvironment {
    store::TableClient table_;
    store::ObjectClient objects_;
    std::map<TeamName, Resources> quotas_;
    std::vector<WorkerAddress> workers_;
};

/// A partition as recovered from its snapshot and journal.
struct RecoveredPartition {
    Ledger ledger_;
    /// Sequence of the next journal batch.
    Sequence nextBatch_;
    uint64_t batchesSinceSnapshot_ { 0 };
    bool operator==(const RecoveredPartition&) const = default;
};

class JobsActor {
public:
    /// Starts the actor on `executor`.
    static JobsActor create(const boost::asio::any_io_executor& executor, Clock clock, JobsEnvironment environment);

    /// Handles that a partition was gained or lost, or that the renewal horizon was extended. While the mailbox is full,
    /// posting is retried, as a lost change would leave a partition without its owner.
    void handleOwnershipChange(const leases::OwnershipChange& change) const;
    /// Sends `request` to the owner of `partition` in this process.
    /// \return the answer; NotAccepted while the mailbox is full or closed; NotOwner if this process does not own the
    /// partition; OutcomeUnknown after `requestTimeout`.
    boost::asio::awaitable<JobsAnswer> ask(PartitionNumber partition, JobsRequest request) const;
    /// Replaces the quotas of all teams.
    void setQuotas(std::map<TeamName, Resources> quotas) const;
    /// Replaces the list of workers and their addresses.
    void setWorkers(std::vector<WorkerAddress> workers) const;
    /// Stops the actor at once, without answering pending requests.
    void stop() const { mailbox_.close(); }

    struct OwnershipChanged {
        leases::OwnershipChange change_;
    };
    struct RequestReceived {
        PartitionNumber partition_;
        JobsRequest request_;
        Reply<JobsAnswer> reply_;
    };
    struct PartitionRecovered {
        PartitionNumber partition_;
        Epoch epoch_;
        RecoveredPartition recovered_;
    };
    /// A message for the owner of the partition in `epoch_`; dropped if the process owns the partition in another epoch.
    struct MessageForOwner {
        PartitionNumber partition_;
        Epoch epoch_;
        OwnerMessage message_;
    };
    struct DomainRowsRead {
        std::vector<DomainState> domains_;
    };
    struct QuotasSet {
        std::map<TeamName, Resources> quotas_;
    };
    struct WorkersSet {
        std::vector<WorkerAddress> workers_;
    };
    struct Tick {
    };
    using Message = std::variant<OwnershipChanged, RequestReceived, PartitionRecovered, MessageForOwner, DomainRowsRead, QuotasSet, WorkersSet, Tick>;

private:
    JobsActor(boost::asio::any_io_executor executor, Mailbox<Message> mailbox)
        : executor_(std::move(executor))
        , mailbox_(std::move(mailbox))
    {
    }

    boost::asio::any_io_executor executor_;
    Mailbox<Message> mailbox_;
};

} // namespace persimmondoor::jobs
