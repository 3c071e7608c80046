#include "OwnerRules.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/placement/Preemption.h"

#include <algorithm>

namespace persimmondoor::jobs {

// The sample of workers that a round probes grows by one for each `tasksPerExtraProbe` tasks, up to `maximumSample`.
static constexpr uint32_t tasksPerExtraProbe = 8;
static constexpr uint32_t maximumSample = 64;
// Delay before a task that could not be placed is a candidate again, so that it does not keep others out of the rounds.
static constexpr Duration noCapacityDelay = std::chrono::seconds(1);

namespace {

    // The tasks of a gang form one unit; every other task is a unit of its own.
    std::vector<placement::PlacementUnit> unitsOf(const std::vector<placement::PlacementRequest>& requests, const std::vector<TaskKey>& keys)
    {
        std::vector<placement::PlacementUnit> units;
        for (size_t index = 0; index < requests.size(); ++index) {
            bool gang = std::holds_alternative<placement::Gang>(requests[index].constraint_);
            if (gang && index > 0 && keys[index - 1].job_ == keys[index].job_)
                units.back().push_back(requests[index]);
            else
                units.push_back({ requests[index] });
        }
        return units;
    }

    bool lacksResources(placement::WaitReason reason)
    {
        return reason == placement::WaitReason::Processors || reason == placement::WaitReason::Memory || reason == placement::WaitReason::Accelerators;
    }

} // namespace

// Returns the first `maximumTasksPerRound` waiting tasks that are not delayed and have no pending start.
std::vector<TaskKey> OwnerRules::startCandidates() const
{
    std::vector<TaskKey> result;
    for (const QueuePosition& position : owner_.ledger_.queue()) {
        auto wait = owner_.waits_.find(position.task_);
        bool delayed = wait != owner_.waits_.end() && wait->second.notBefore_ > moment_.now_;
        if (!delayed && !owner_.pendingStarts_.contains(position.task_))
            result.push_back(position.task_);
        if (result.size() == maximumTasksPerRound)
            break;
    }
    return result;
}

placement::PlacementRequest OwnerRules::placementRequest(const TaskKey& key, uint64_t seed) const
{
    const JobSpec& spec = specOf(key);
    const Job& job = *owner_.ledger_.find(key.job_);
    placement::PlacementRequest request { taskId(key), spec.team_, spec.priority_, spec.resources_, spec.constraint_, {}, closedDomains(),
        owner_.quarantine_.avoidedWorkers(moment_.now_), seed };
    request.avoidedWorkers_.insert(job.tasks_[key.index_].failedAt_.begin(), job.tasks_[key.index_].failedAt_.end());
    if (std::holds_alternative<placement::Unconstrained>(spec.constraint_))
        return request;
    for (const Task& task : job.tasks_) {
        if (const placement::Site* site = siteOf(task.phase_))
            request.siblings_.push_back(*site);
    }
    return request;
}

void OwnerRules::startRound()
{
    Instant now = moment_.now_;
    bool isProbing = owner_.probeStartedAt_ && now - *owner_.probeStartedAt_ < probeTimeout;
    if (isProbing || now < owner_.nextRoundAt_ || owner_.ledger_.queue().empty() || owner_.directory_.empty() || owner_.journal_.isStalled() || owner_.isResigned())
        return;
    std::vector<TaskKey> keys = startCandidates();
    owner_.nextRoundAt_ = now + idleRoundInterval;
    if (keys.empty())
        return;
    placement::PlacementRequest first = placementRequest(keys.front(), ++owner_.rounds_);
    uint32_t size = std::min(placement::defaultSampleSize + static_cast<uint32_t>(keys.size()) / tasksPerExtraProbe, maximumSample);
    ProbeWorkers probe { {}, { first.team_, first.resources_ } };
    for (const placement::DomainSample& sample : placement::planSample(first, size, owner_.directory_))
        probe.workers_.insert(probe.workers_.end(), sample.workers_.begin(), sample.workers_.end());
    if (probe.workers_.empty())
        return delay(keys.front(), "no worker to probe: each is in quarantine, in a failure domain out of service, or failed the task", noCapacityDelay);
    owner_.probeStartedAt_ = now;
    actions_.emplace_back(std::move(probe));
}

// The agents' offers, less the resources of starts that the agents have not confirmed yet.
std::vector<placement::Offer> OwnerRules::availableOffers(const std::vector<hosting::HostOffer>& answers) const
{
    std::map<WorkerName, Resources> reserved;
    auto reserve = [&](const TaskKey& key, const placement::Site& site) { reserved[site.worker_] = reserved[site.worker_] + specOf(key).resources_; };
    for (const auto& [key, start] : owner_.pendingStarts_) {
        if (owner_.ledger_.find(key))
            reserve(key, start.site_);
    }
    for (const auto& [key, state] : owner_.attempts_) {
        const Task* task = state.isStartAnswered_ ? nullptr : owner_.ledger_.find(key);
        if (task && siteOf(task->phase_))
            reserve(key, *siteOf(task->phase_));
    }
    std::vector<placement::Offer> offers;
    offers.reserve(answers.size());
    for (const hosting::HostOffer& answer : answers) {
        offers.push_back({ answer.worker_, answer.domain_, answer.rack_, answer.capacity_, answer.free_ - reserved[answer.worker_], answer.running_, answer.pressure_,
            answer.accepting_ });
    }
    return offers;
}

placement::QuotaLedger OwnerRules::remainingQuotas() const
{
    std::map<TeamName, Resources> quotas = owner_.quotas_;
    auto subtract = [&](const TeamName& team, const Resources& amount) {
        if (auto quota = quotas.find(team); quota != quotas.end())
            quota->second = quota->second - amount;
    };
    for (const auto& [team, used] : owner_.ledger_.used())
        subtract(team, used);
    for (const auto& [key, start] : owner_.pendingStarts_) {
        if (owner_.ledger_.find(key))
            subtract(specOf(key).team_, specOf(key).resources_);
    }
    return placement::QuotaLedger::create(std::move(quotas));
}

void OwnerRules::operator()(const OffersCollected& message)
{
    owner_.probeStartedAt_.reset();
    std::vector<TaskKey> keys = startCandidates();
    std::vector<placement::PlacementRequest> requests;
    requests.reserve(keys.size());
    for (const TaskKey& key : keys)
        requests.push_back(placementRequest(key, owner_.rounds_ + requests.size()));
    placement::QueuePlacement round = placement::placeQueue(unitsOf(requests, keys), availableOffers(message.offers_), remainingQuotas());

    std::vector<placement::Placed> placed;
    std::vector<placement::NotPlaced> notPlaced;
    for (const placement::PlacementChoice& choice : round.choices_) {
        std::visit(Visitor { [&](const placement::Placed& item) { placed.push_back(item); }, [&](const placement::NotPlaced& item) { notPlaced.push_back(item); } }, choice);
    }
    bool any = appendStarts(placed, message.offers_);
    handleNotPlaced(notPlaced);
    preempt(notPlaced, round.offers_);
    owner_.nextRoundAt_ = any ? moment_.now_ : moment_.now_ + idleRoundInterval;
}

// Appends the records of the starts to the journal. At most half of the starts of a round, but always one, may be in failure
// domains that were restored recently. Returns whether any record was appended.
bool OwnerRules::appendStarts(const std::vector<placement::Placed>& placed, const std::vector<hosting::HostOffer>& answers)
{
    std::map<WorkerName, hosting::Stamp> stamps;
    for (const hosting::HostOffer& answer : answers)
        stamps.emplace(answer.worker_, answer.stamp_);
    std::set<FailureDomainName> rampingUp = rampingUpDomains();
    size_t rampingUpStarts = 0;
    std::vector<Record> urgent;
    std::vector<Record> deferred;
    for (const placement::Placed& item : placed) {
        TaskKey key = *parseTaskId(item.task_);
        bool isRampingUp = rampingUp.contains(item.site_.domain_);
        bool exceedsShare = isRampingUp && rampingUpStarts > 0 && 2 * (rampingUpStarts + 1) > placed.size();
        if (exceedsShare) {
            delay(key, "its failure domain was restored recently; starts there are limited", refusalDelay);
            continue;
        }
        rampingUpStarts += isRampingUp ? 1 : 0;
        owner_.quarantine_ = recordRetry(std::move(owner_.quarantine_), item.site_.worker_, moment_.now_);
        owner_.pendingStarts_.emplace(key, Owner::PendingStart { item.site_, stamps.at(item.site_.worker_) });
        std::vector<Record>& records = laneOf(specOf(key)) == Lane::Urgent ? urgent : deferred;
        records.emplace_back(TaskAssigned { key, owner_.ledger_.find(key)->attempt_.next(), item.site_ });
    }
    bool any = !urgent.empty() || !deferred.empty();
    append(std::move(urgent), Lane::Urgent);
    append(std::move(deferred), Lane::Deferred);
    return any;
}

// Records why tasks wait, and ends jobs that can never run.
void OwnerRules::handleNotPlaced(const std::vector<placement::NotPlaced>& notPlaced)
{
    std::set<JobId> checkedJobs;
    std::vector<Record> records;
    for (const placement::NotPlaced& item : notPlaced) {
        TaskKey key = *parseTaskId(item.task_);
        delay(key, item.detail_.empty() ? std::string(placement::describe(item.reason_)) : concat(placement::describe(item.reason_), ": ", item.detail_), noCapacityDelay);
        if (owner_.quotas_.empty() || owner_.pendingJobRecords_.contains(key.job_) || !checkedJobs.insert(key.job_).second)
            continue;
        auto unplaceable = placement::findUnplaceable(placementRequest(key, 0), specOf(key).taskCount_, owner_.shapes_, placement::QuotaLedger::create(owner_.quotas_));
        if (!unplaceable)
            continue;
        owner_.pendingJobRecords_.insert(key.job_);
        records.emplace_back(JobUnplaceable { key.job_, concat(placement::describe(unplaceable->reason_), ": ", unplaceable->detail_), moment_.wallMs_ });
    }
    append(std::move(records), Lane::Deferred);
}

// Evicts trial tasks of this partition, with a checkpoint, for the first paying task that lacks resources.
void OwnerRules::preempt(const std::vector<placement::NotPlaced>& notPlaced, const std::vector<placement::Offer>& offers)
{
    auto first = std::find_if(notPlaced.begin(), notPlaced.end(), [&](const placement::NotPlaced& item) {
        return lacksResources(item.reason_) && specOf(*parseTaskId(item.task_)).priority_.tier_ == Tier::Paying;
    });
    if (first == notPlaced.end())
        return;
    std::vector<placement::RunningTask> running;
    for (const placement::Offer& offer : offers) {
        auto assigned = owner_.ledger_.assigned().find(offer.worker_);
        if (assigned == owner_.ledger_.assigned().end())
            continue;
        for (const TaskKey& key : assigned->second) {
            if (specOf(key).priority_.tier_ == Tier::Trial && std::holds_alternative<Running>(owner_.ledger_.find(key)->phase_))
                running.push_back({ taskId(key), offer.worker_, Tier::Trial, specOf(key).resources_, {}, {}, true });
        }
    }
    auto proposal = placement::proposePreemption(placementRequest(*parseTaskId(first->task_), 0), offers, running);
    const auto* preemption = std::get_if<placement::Preemption>(&proposal);
    if (!preemption)
        return;
    for (const TaskId& victim : preemption->victims_) {
        TaskKey key = *parseTaskId(victim);
        if (owner_.pendingEnds_.contains({ key, owner_.ledger_.find(key)->attempt_ }))
            continue;
        owner_.attempts_[key].isEvicting_ = true;
        stop(key, hosting::StopKind::Checkpoint);
    }
}

} // namespace persimmondoor::jobs
