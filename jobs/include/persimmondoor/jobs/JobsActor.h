/// The actor of a process that owns its share of the job partitions: recovers a partition that the process has gained,
/// decides for it, and carries out what was decided at the platform's services and at agents.
///
/// \code
/// JobsActor jobs = JobsActor::create(executor, clock, { table, objects, quotas, workers });
/// jobs.learn(leases::Gained { ... });
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

/// Longest wait for a request to become durable; then its outcome is unknown.
inline constexpr Duration requestTimeout = std::chrono::seconds(8);

struct WorkerAddress {
    KnownWorker worker_;
    Address address_;
    bool operator==(const WorkerAddress&) const = default;
};

/// What the actor works with.
struct JobsEnvironment {
    store::TableClient table_;
    store::ObjectClient objects_;
    std::map<TeamName, Resources> quotas_;
    std::vector<WorkerAddress> workers_;
};

/// What came of reading a partition's snapshot and journal.
struct RecoveredPartition {
    Ledger ledger_;
    Sequence next_;
    uint64_t batches_ { 0 };
    bool operator==(const RecoveredPartition&) const = default;
};

class JobsActor {
public:
    /// Starts the actor on `executor`.
    static JobsActor create(const boost::asio::any_io_executor& executor, Clock clock, JobsEnvironment environment);

    /// A partition was gained or lost. Never dropped: waits while the mailbox is full.
    void handleOwnershipChange(const leases::OwnershipChange& change) const;
    /// Asks the owner of `partition`.
    /// \return its answer; NotOwner if this process does not own it; OutcomeUnknown after `requestTimeout`.
    boost::asio::awaitable<JobsAnswer> ask(PartitionNumber partition, JobsRequest request) const;
    /// Other quotas, from the settings.
    void setQuotas(std::map<TeamName, Resources> quotas) const;
    /// Other workers, or other addresses of them.
    void setWorkers(std::vector<WorkerAddress> workers) const;
    /// Ends the actor at once.
    void stop() const { mailbox_.close(); }

    struct OwnershipChanged {
        leases::OwnershipChange change_;
    };
    struct Asked {
        PartitionNumber partition_;
        JobsRequest request_;
        Reply<JobsAnswer> reply_;
    };
    struct Recovery {
        PartitionNumber partition_;
        Epoch epoch_;
        RecoveredPartition recovered_;
    };
    /// A message for the owner of the partition in `epoch_`; one for an earlier epoch is dropped.
    struct ForOwner {
        PartitionNumber partition_;
        Epoch epoch_;
        OwnerMessage message_;
    };
    struct DomainsSeen {
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
    using Message = std::variant<OwnershipChanged, Asked, Recovery, ForOwner, DomainsSeen, QuotasSet, WorkersSet, Tick>;

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
