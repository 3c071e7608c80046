// The rules of a partition's owner, by topic: requests, journal, starts, hosts, domains and upkeep.
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
    void tellJournal(const JournalMessage&);
    void propose(std::vector<Record>, Lane);
    void makeDurable(const Batch&);
    void commit(const Batch&);
    void takeSnapshotIfDue();

    // Attempts.cpp
    void operator()(const StartAnswered&);
    void operator()(const StopAnswered&);
    void onEffect(const StartPermitted&);
    void onEffect(const StopRequired&);
    void onEffect(const AttemptClosed&);
    void stop(const TaskKey&, hosting::StopKind);
    void release(const TaskKey&, Attempt, ReleaseCause, std::string checkpoint);
    void delay(const TaskKey&, std::string reason, Duration);
    void repeatStops();

    // Starts.cpp
    void operator()(const OffersCollected&);
    void startRound();
    std::vector<TaskKey> candidates() const;
    placement::PlacementRequest placementRequest(const TaskKey&, uint64_t seed) const;
    std::vector<placement::Offer> openOffers(const std::vector<hosting::HostOffer>&) const;
    placement::QuotaLedger openQuotas() const;
    bool assign(const std::vector<placement::Placed>&, const std::vector<hosting::HostOffer>&);
    void judge(const std::vector<placement::NotPlaced>&);
    void preempt(const std::vector<placement::NotPlaced>&, const std::vector<placement::Offer>&);

    // Hosts.cpp
    void operator()(const RenewalAnswered&);
    void operator()(const RenewalFailed&);
    void operator()(const HorizonExtended&);
    void compareRunning(const RenewalAnswered&);
    void renewHosts();
    void renew(const WorkerName&, Owner::Host&);
    void releaseAll(const WorkerName&);
    Owner::Host& host(const WorkerName&);

    // Domains.cpp
    void operator()(const DomainsRead&);
    std::set<FailureDomainName> closedDomains() const;
    std::set<FailureDomainName> returningDomains() const;
    void leaveDomains();

    // Owner.cpp
    void operator()(const WorkersListed&);
    void operator()(const QuotasChanged&);
    void operator()(const TimePassed&);
    void forgetEndedJobs();

    // The task if `attempt` is its present one and has not ended.
    const Task* findAttempt(const TaskKey& key, Attempt attempt) const
    {
        const Task* task = owner_.ledger_.find(key);
        return task && task->attempt_ == attempt && siteOf(task->phase_) ? task : nullptr;
    }

    const JobSpec& specOf(const TaskKey& key) const { return owner_.ledger_.find(key.job_)->spec_; }
    static Lane laneOf(const JobSpec& spec) { return spec.priority_.urgency_ == placement::Urgency::Urgent ? Lane::Urgent : Lane::Batch; }
};

} // namespace persimmondoor::jobs
