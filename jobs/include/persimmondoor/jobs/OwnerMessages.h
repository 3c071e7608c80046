/// What the owner of a partition is told, and what it wants done.
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

/// Numbers a request whose answer may take a while.
using Ticket = Counter<struct TicketTag>;

/// Time of a message: the process's clock for decisions, the wall clock for reports.
struct Moment {
    Instant now_;
    /// Milliseconds since 1970 UTC.
    int64_t wallMs_ { 0 };
    auto operator<=>(const Moment&) const = default;
};

/// A worker that may be probed.
struct KnownWorker {
    placement::Site site_;
    Resources capacity_;
    bool operator==(const KnownWorker&) const = default;
};

/// One failure domain's row. A domain without a row is in service.
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

struct CancelRequested {
    Ticket ticket_;
    std::vector<JobId> jobs_;
    auto operator<=>(const CancelRequested&) const = default;
};

/// The workers that there are.
struct WorkersListed {
    std::vector<KnownWorker> workers_;
    bool operator==(const WorkersListed&) const = default;
};

/// All rows of failure domains, as read from the store.
struct DomainsRead {
    std::vector<DomainState> rows_;
    auto operator<=>(const DomainsRead&) const = default;
};

struct QuotasChanged {
    std::map<TeamName, Resources> quotas_;
    bool operator==(const QuotasChanged&) const = default;
};

/// The answers of a round of probes.
struct OffersCollected {
    std::vector<hosting::HostOffer> offers_;
    bool operator==(const OffersCollected&) const = default;
};

/// The start order reached nobody.
struct OrderNotSent {
    auto operator<=>(const OrderNotSent&) const = default;
};

/// It is not known whether the order reached the agent.
struct OrderUnknown {
    auto operator<=>(const OrderUnknown&) const = default;
};

struct StartAnswered {
    TaskKey task_;
    Attempt attempt_;
    std::variant<hosting::Started, hosting::StartRefused, OrderNotSent, OrderUnknown> outcome_;
    auto operator<=>(const StartAnswered&) const = default;
};

/// `outcome_` is nothing if no answer came.
struct StopAnswered {
    TaskKey task_;
    Attempt attempt_;
    std::optional<hosting::StopOutcome> outcome_;
    auto operator<=>(const StopAnswered&) const = default;
};

/// An agent answered a renewal that was sent at `sentAt_`.
struct RenewalAnswered {
    WorkerName worker_;
    Instant sentAt_;
    /// The digest that the renewal carried.
    uint64_t sentDigest_ { 0 };
    hosting::RenewalAnswer answer_;
    bool operator==(const RenewalAnswered&) const = default;
};

/// No answer to a renewal.
struct RenewalFailed {
    WorkerName worker_;
    auto operator<=>(const RenewalFailed&) const = default;
};

/// A message for the journal, from the store.
struct JournalAnswered {
    JournalMessage message_;
    bool operator==(const JournalAnswered&) const = default;
};

/// Until when task leases may be renewed.
struct HorizonExtended {
    Instant until_;
    auto operator<=>(const HorizonExtended&) const = default;
};

struct SnapshotStored {
    Sequence through_;
    bool stored_ { true };
    auto operator<=>(const SnapshotStored&) const = default;
};

struct TimePassed {
    auto operator<=>(const TimePassed&) const = default;
};

using OwnerMessage = std::variant<SubmitRequested, CancelRequested, WorkersListed, DomainsRead, QuotasChanged, OffersCollected, StartAnswered, StopAnswered,
    RenewalAnswered, RenewalFailed, JournalAnswered, HorizonExtended, SnapshotStored, TimePassed>;

/// Commit the batch on these versions of the domains' rows, beside the conditions of `WriteBatch`.
struct CommitBatch {
    Batch batch_;
    std::map<FailureDomainName, store::RowVersion> domains_;
    bool operator==(const CommitBatch&) const = default;
};

/// Read back the batch's row, the partition's row and the domains' rows; the answer is `BatchReadBack`, after `DomainsRead`.
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

/// Store the ledger as it is after batch `through_`, then cut the journal up to there.
struct StoreSnapshot {
    Sequence through_;
    auto operator<=>(const StoreSnapshot&) const = default;
};

/// The request took effect, durably. A repeated one gives the same answer.
struct Accepted {
    auto operator<=>(const Accepted&) const = default;
};
/// Another job has the id.
struct IdTaken {
    auto operator<=>(const IdTaken&) const = default;
};
struct NoSuchJob {
    JobId job_;
    auto operator<=>(const NoSuchJob&) const = default;
};
/// Nothing of the request was done.
struct NotAccepted {
    std::string detail_;
    auto operator<=>(const NotAccepted&) const = default;
};
/// The request may have taken effect; repeat it.
struct OutcomeUnknown {
    auto operator<=>(const OutcomeUnknown&) const = default;
};

using RequestResult = std::variant<Accepted, IdTaken, NoSuchJob, NotAccepted, OutcomeUnknown>;

struct AnswerRequest {
    Ticket ticket_;
    RequestResult result_;
    auto operator<=>(const AnswerRequest&) const = default;
};

/// The partition has another owner: do nothing more for it.
struct Resign {
    auto operator<=>(const Resign&) const = default;
};

using OwnerAction = std::variant<CommitBatch, ReadBatch, ProbeWorkers, SendStart, SendStop, SendRenewal, StoreSnapshot, AnswerRequest, Resign>;

} // namespace persimmondoor::jobs
