// The rules by which the owner of a partition handles messages, by topic. Each rule changes the owner's state and appends
// the actions to be performed.
#pragma once

#include "persimmondoor/jobs/Owner.h"
#include "persimmondoor/placement/Choice.h"

namespace persimmondoor::jobs {

struct OwnerRules {
    Owner& owner_;
    std::vector<OwnerAction>& actions_;
    const Moment& moment_;

    // Requests.cpp
    void operator()(const SubmitRequested&);
    void operator()(const CancelRequested&);
    void answerSubmission(const JobId&);
    void answerCancellations(const JobId&);
    void answerAllUnknown();

    // Durability.cpp
    void operator()(const JournalAnswered&);
    void operator()(const SnapshotStored&);
    void sendToJournal(const JournalMessage&);
    void append(std::vector<Record>, Lane);
    void applyBatch(const Batch&);
    void commit(const Batch&);
    void takeSnapshotIfDue();

    // Attempts.cpp
    void operator()(const StartAnswered&);
    void operator()(const StopAnswered&);
    void handleEffect(const StartPermitted&);
    void handleEffect(const StopRequired&);
    void handleEffect(const AttemptClosed&);
    void stop(const TaskKey&, hosting::StopKind);
    void release(const TaskKey&, Attempt, ReleaseCause, std::string checkpoint);
    void delay(const TaskKey&, std::string reason, Duration);
    void repeatStops();

    // Starts.cpp
    void operator()(const OffersCollected&);
    void startRound();
    std::vector<TaskKey> startCandidates() const;
    placement::PlacementRequest placementRequest(const TaskKey&, uint64_t seed) const;
    std::vector<placement::Offer> availableOffers(const std::vector<hosting::HostOffer>&) const;
    placement::QuotaLedger remainingQuotas() const;
    bool appendStarts(const std::vector<placement::Placed>&, const std::vector<hosting::HostOffer>&);
    void handleNotPlaced(const std::vector<placement::NotPlaced>&);
    void preempt(const std::vector<placement::NotPlaced>&, const std::vector<placement::Offer>&);

    // Hosts.cpp
    void operator()(const RenewalAnswered&);
    void operator()(const RenewalFailed&);
    void operator()(const HorizonExtended&);
    void reconcileRunning(const RenewalAnswered&);
    void renewHosts();
    void renew(const WorkerName&, Owner::Host&);
    void releaseAll(const WorkerName&);
    Owner::Host& hostOf(const WorkerName&);

    // Domains.cpp
    void operator()(const DomainsRead&);
    std::set<FailureDomainName> closedDomains() const;
    std::set<FailureDomainName> rampingUpDomains() const;
    void drainDomains();

    // Owner.cpp
    void operator()(const WorkersListed&);
    void operator()(const QuotasChanged&);
    void operator()(const TimePassed&);
    void expireEndedJobs();

    // Returns the task if `attempt` is its current attempt and has not ended, else null.
    const Task* findAttempt(const TaskKey& key, Attempt attempt) const
    {
        const Task* task = owner_.ledger_.find(key);
        return task && task->attempt_ == attempt && siteOf(task->phase_) ? task : nullptr;
    }

    const JobSpec& specOf(const TaskKey& key) const { return owner_.ledger_.find(key.job_)->spec_; }
    static Lane laneOf(const JobSpec& spec) { return spec.priority_.urgency_ == placement::Urgency::Urgent ? Lane::Urgent : Lane::Deferred; }
};

} // namespace persimmondoor::jobs
