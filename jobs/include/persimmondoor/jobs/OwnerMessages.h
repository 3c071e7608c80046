/// The messages that the owner of a partition handles, and the actions that it requests.
///
/// \code
/// OwnerDecision decision = decide(std::move(owner), SubmitRequested { Ticket(1), spec }, moment);
/// \endcode
#pragma once

#include "persimmondoor/hosting/Messages.h"
#include "persimmondoor/jobs/Journal.h"
#include "persimmondoor/store/Table.h"

#include <map>

namespace persimmondoor::jobs {

/// Identifies a request that is answered by a later `AnswerRequest`.
using Ticket = Counter<struct TicketTag>;

/// Time of a message: the monotonic clock of the process for decisions, the wall clock for records and answers.
struct Moment {
    Instant now_;
    /// Milliseconds since 1970 UTC.
    int64_t wallMs_ { 0 };
    auto operator<=>(const Moment&) const = default;
};

/// A worker that tasks may be placed at.
struct KnownWorker {
    placement::Site site_;
    Resources capacity_;
    bool operator==(const KnownWorker&) const = default;
};

/// The row of one failure domain. A domain without a row is in service.
struct DomainState {
    FailureDomainName domain_;
    bool inService_ { true };
    store::RowVersion version_;
    auto operator<=>(const DomainState&) const = default;
};

struct SubmitRequested {
    Ticket ticket_;
    JobSpec spec_;
    bool operator==(const SubmitRequested&) const = default;
};

/// Cancels the jobs. Unknown jobs are skipped; a request for one unknown job only is answered by NoSuchJob.
struct CancelRequested {
    Ticket ticket_;
    std::vector<JobId> jobs_;
    auto operator<=>(const CancelRequested&) const = default;
};

/// All known workers; replaces the earlier list.
struct WorkersListed {
    std::vector<KnownWorker> workers_;
    bool operator==(const WorkersListed&) const = default;
};

/// All rows of failure domains, as read from the store.
struct DomainsRead {
    std::vector<DomainState> rows_;
    auto operator<=>(const DomainsRead&) const = default;
};

/// The quotas of all teams; replaces the earlier ones.
struct QuotasChanged {
    std::map<TeamName, Resources> quotas_;
    bool operator==(const QuotasChanged&) const = default;
};

/// The offers of the workers that answered `ProbeWorkers` in time.
struct OffersCollected {
    std::vector<hosting::HostOffer> offers_;
    bool operator==(const OffersCollected&) const = default;
};

/// The start order was not sent.
struct OrderNotSent {
    auto operator<=>(const OrderNotSent&) const = default;
};

/// The start order was sent but not answered; the agent may have received it, or receive it late.
struct OrderOutcomeUnknown {
    auto operator<=>(const OrderOutcomeUnknown&) const = default;
};

/// The result of a start order.
struct StartAnswered {
    TaskKey task_;
    Attempt attempt_;
    std::variant<hosting::Started, hosting::StartRefused, OrderNotSent, OrderOutcomeUnknown> outcome_;
    auto operator<=>(const StartAnswered&) const = default;
};

/// The result of a stop order; no `outcome_` if the order was not answered.
struct StopAnswered {
    TaskKey task_;
    Attempt attempt_;
    std::optional<hosting::StopOutcome> outcome_;
    auto operator<=>(const StopAnswered&) const = default;
};

/// The agent's answer to the renewal that was sent at `sentAt_`.
struct RenewalAnswered {
    WorkerName worker_;
    Instant sentAt_;
    /// The digest in the renewal.
    uint64_t sentDigest_ { 0 };
    hosting::RenewalAnswer answer_;
    bool operator==(const RenewalAnswered&) const = default;
};

/// The renewal was not answered.
struct RenewalFailed {
    WorkerName worker_;
    auto operator<=>(const RenewalFailed&) const = default;
};

/// The store's answer to an action of the journal.
struct JournalAnswered {
    JournalMessage message_;
    bool operator==(const JournalAnswered&) const = default;
};

/// The owner may renew task leases until `until_`.
struct HorizonExtended {
    Instant until_;
    auto operator<=>(const HorizonExtended&) const = default;
};

/// The result of `StoreSnapshot`.
struct SnapshotStored {
    Sequence through_;
    bool isStored_ { true };
    auto operator<=>(const SnapshotStored&) const = default;
};

struct TimePassed {
    auto operator<=>(const TimePassed&) const = default;
};

using OwnerMessage = std::variant<SubmitRequested, CancelRequested, WorkersListed, DomainsRead, QuotasChanged, OffersCollected, StartAnswered, StopAnswered,
    RenewalAnswered, RenewalFailed, JournalAnswered, HorizonExtended, SnapshotStored, TimePassed>;

/// Commit the batch, on the conditions of `WriteBatch` and that the domains' rows have these versions.
struct CommitBatch {
    Batch batch_;
    std::map<FailureDomainName, store::RowVersion> domains_;
    bool operator==(const CommitBatch&) const = default;
};

/// Read the rows of the batch, of the partition and of the failure domains. Answered by `DomainsRead`, then
/// `BatchReadBack`.
struct ReadBatch {
    Sequence sequence_;
    auto operator<=>(const ReadBatch&) const = default;
};

struct ProbeWorkers {
    std::vector<WorkerName> workers_;
    hosting::ProbeOrder order_;
    bool operator==(const ProbeWorkers&) const = default;
};

struct SendStart {
    WorkerName worker_;
    TaskKey task_;
    hosting::StartOrder order_;
    bool operator==(const SendStart&) const = default;
};

struct SendStop {
    WorkerName worker_;
    TaskKey task_;
    hosting::StopOrder order_;
    auto operator<=>(const SendStop&) const = default;
};

struct SendRenewal {
    WorkerName worker_;
    Instant sentAt_;
    hosting::Renewal renewal_;
    auto operator<=>(const SendRenewal&) const = default;
};

/// Store the ledger as of batch `through_`, then truncate the journal up to that batch.
struct StoreSnapshot {
    Sequence through_;
    auto operator<=>(const StoreSnapshot&) const = default;
};

/// The request is durable. A repeated request gets the same answer.
struct Accepted {
    auto operator<=>(const Accepted&) const = default;
};
/// A different job with this id exists.
struct IdTaken {
    auto operator<=>(const IdTaken&) const = default;
};
struct NoSuchJob {
    JobId job_;
    auto operator<=>(const NoSuchJob&) const = default;
};
/// The request had no effect.
struct NotAccepted {
    std::string detail_;
    auto operator<=>(const NotAccepted&) const = default;
};
/// The request may have taken effect; the client should retry it.
struct OutcomeUnknown {
    auto operator<=>(const OutcomeUnknown&) const = default;
};

using RequestResult = std::variant<Accepted, IdTaken, NoSuchJob, NotAccepted, OutcomeUnknown>;

struct AnswerRequest {
    Ticket ticket_;
    RequestResult result_;
    auto operator<=>(const AnswerRequest&) const = default;
};

/// Another process owns the partition: take no further action for it.
struct Resign {
    auto operator<=>(const Resign&) const = default;
};

using OwnerAction = std::variant<CommitBatch, ReadBatch, ProbeWorkers, SendStart, SendStop, SendRenewal, StoreSnapshot, AnswerRequest, Resign>;

} // namespace persimmondoor::jobs
