#include "OwnerRules.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/placement/Preemption.h"

#include <algorithm>

namespace persimmondoor::jobs {

// Workers probed for a round: a sample for one task, and more for many.
static constexpr uint32_t tasksPerExtraProbe = 8;
static constexpr uint32_t maximumSample = 64;
// Wait before a task that found no room is looked at again, so that others get their turn.
static constexpr Duration noRoomDelay = std::chrono::seconds(1);

namespace {

    // Tasks of a gang form one unit; every other task is a unit of its own.
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

    bool wantsRoom(placement::WaitReason reason)
    {
        return reason == placement::WaitReason::Processors || reason == placement::WaitReason::Memory || reason == placement::WaitReason::Accelerators;
    }

} // namespace

// The first waiting tasks that may start now.
std::vector<TaskKey> OwnerRules::candidates() const
{
    std::vector<TaskKey> result;
    for (const QueuePosition& position : owner_.ledger_.queue()) {
        auto wait = owner_.waits_.find(position.task_);
        bool delayed = wait != owner_.waits_.end() && wait->second.notBefore_ > moment_.now_;
        if (!delayed && !owner_.proposedStarts_.contains(position.task_))
            result.push_back(position.task_);
        if (result.size() == roundTasks)
            break;
    }
    return result;
}

placement::PlacementRequest OwnerRules::placementRequest(const TaskKey& key, uint64_t seed) const
{
    const JobSpec& spec = specOf(key);
    const Job& job = *owner_.ledger_.find(key.job_);
    placement::PlacementRequest request { taskId(key), spec.team_, spec.priority_, spec.resources_, spec.constraint_, {}, closedDomains(),
        owner_.quarantine_.avoided(moment_.now_), seed };
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
    bool probing = owner_.probingSince_ && now - *owner_.probingSince_ < probeTimeout;
    if (probing || now < owner_.nextRound_ || owner_.ledger_.queue().empty() || owner_.directory_.empty() || owner_.journal_.isStalled() || owner_.isResigned())
        return;
    std::vector<TaskKey> keys = candidates();
    owner_.nextRound_ = now + idleRoundInterval;
    if (keys.empty())
        return;
    placement::PlacementRequest first = placementRequest(keys.front(), ++owner_.rounds_);
    uint32_t size = std::min(placement::defaultSampleSize + static_cast<uint32_t>(keys.size()) / tasksPerExtraProbe, maximumSample);
    ProbeWorkers probe { {}, { first.team_, first.resources_ } };
    for (const placement::DomainSample& sample : placement::planSample(first, size, owner_.directory_))
        probe.workers_.insert(probe.workers_.end(), sample.workers_.begin(), sample.workers_.end());
    if (probe.workers_.empty())
        return delay(keys.front(), "no worker may be asked: all are in quarantine, out of service, or have failed the task", noRoomDelay);
    owner_.probingSince_ = now;
    actions_.emplace_back(std::move(probe));
}

// What agents offer, less what this owner is about to start and they do not know yet.
std::vector<placement::Offer> OwnerRules::openOffers(const std::vector<hosting::HostOffer>& answers) const
{
    std::map<WorkerName, Resources> reserved;
    auto reserve = [&](const TaskKey& key, const placement::Site& site) { reserved[site.worker_] = reserved[site.worker_] + specOf(key).resources_; };
    for (const auto& [key, start] : owner_.proposedStarts_) {
        if (owner_.ledger_.find(key))
            reserve(key, start.site_);
    }
    for (const auto& [key, run] : owner_.runs_) {
        const Task* task = run.isStartAnswered_ ? nullptr : owner_.ledger_.find(key);
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

placement::QuotaLedger OwnerRules::openQuotas() const
{
    std::map<TeamName, Resources> quotas = owner_.quotas_;
    auto take = [&](const TeamName& team, const Resources& amount) {
        if (auto quota = quotas.find(team); quota != quotas.end())
            quota->second = quota->second - amount;
    };
    for (const auto& [team, used] : owner_.ledger_.used())
        take(team, used);
    for (const auto& [key, start] : owner_.proposedStarts_) {
        if (owner_.ledger_.find(key))
            take(specOf(key).team_, specOf(key).resources_);
    }
    return placement::QuotaLedger::create(std::move(quotas));
}

void OwnerRules::operator()(const OffersCollected& message)
{
    owner_.probingSince_.reset();
    std::vector<TaskKey> keys = candidates();
    std::vector<placement::PlacementRequest> requests;
    requests.reserve(keys.size());
    for (const TaskKey& key : keys)
        requests.push_back(placementRequest(key, owner_.rounds_ + requests.size()));
    placement::QueuePlacement round = placement::placeQueue(unitsOf(requests, keys), openOffers(message.offers_), openQuotas());

    std::vector<placement::Placed> placed;
    std::vector<placement::NotPlaced> missing;
    for (const placement::PlacementChoice& choice : round.choices_) {
        std::visit(Visitor { [&](const placement::Placed& item) { placed.push_back(item); }, [&](const placement::NotPlaced& item) { missing.push_back(item); } }, choice);
    }
    bool any = assign(placed, message.offers_);
    judge(missing);
    preempt(missing, round.offers_);
    owner_.nextRound_ = any ? moment_.now_ : moment_.now_ + idleRoundInterval;
}

// Proposes the starts. While a failure domain returns, at most every second start of a round goes there.
bool OwnerRules::assign(const std::vector<placement::Placed>& placed, const std::vector<hosting::HostOffer>& answers)
{
    std::map<WorkerName, hosting::Stamp> stamps;
    for (const hosting::HostOffer& answer : answers)
        stamps.emplace(answer.worker_, answer.stamp_);
    std::set<FailureDomainName> returning = returningDomains();
    size_t returns = 0;
    std::vector<Record> urgent;
    std::vector<Record> batch;
    for (const placement::Placed& item : placed) {
        TaskKey key = *parseTaskId(item.task_);
        bool toReturning = returning.contains(item.site_.domain_);
        bool tooMany = toReturning && returns > 0 && 2 * (returns + 1) > placed.size();
        if (tooMany) {
            delay(key, "its failure domain has just returned and is filled step by step", refusalDelay);
            continue;
        }
        returns += toReturning ? 1 : 0;
        owner_.quarantine_ = recordTrial(std::move(owner_.quarantine_), item.site_.worker_, moment_.now_);
        owner_.proposedStarts_.emplace(key, Owner::ProposedStart { item.site_, stamps.at(item.site_.worker_) });
        std::vector<Record>& records = laneOf(specOf(key)) == Lane::Urgent ? urgent : batch;
        records.emplace_back(TaskAssigned { key, owner_.ledger_.find(key)->attempt_.next(), item.site_ });
    }
    bool any = !urgent.empty() || !batch.empty();
    propose(std::move(urgent), Lane::Urgent);
    propose(std::move(batch), Lane::Batch);
    return any;
}

// Notes why tasks wait, and ends the jobs that can never run.
void OwnerRules::judge(const std::vector<placement::NotPlaced>& missing)
{
    std::set<JobId> judged;
    std::vector<Record> verdicts;
    for (const placement::NotPlaced& item : missing) {
        TaskKey key = *parseTaskId(item.task_);
        delay(key, item.detail_.empty() ? std::string(placement::describe(item.reason_)) : concat(placement::describe(item.reason_), ": ", item.detail_), noRoomDelay);
        if (owner_.quotas_.empty() || owner_.proposedVerdicts_.contains(key.job_) || !judged.insert(key.job_).second)
            continue;
        auto never = placement::findUnplaceable(placementRequest(key, 0), specOf(key).taskCount_, owner_.shapes_, placement::QuotaLedger::create(owner_.quotas_));
        if (!never)
            continue;
        owner_.proposedVerdicts_.insert(key.job_);
        verdicts.emplace_back(JobUnplaceable { key.job_, concat(placement::describe(never->reason_), ": ", never->detail_), moment_.wallMs_ });
    }
    propose(std::move(verdicts), Lane::Batch);
}

// Makes room for the first paying task that found none, by stopping trial tasks of this partition with a checkpoint.
void OwnerRules::preempt(const std::vector<placement::NotPlaced>& missing, const std::vector<placement::Offer>& offers)
{
    auto first = std::find_if(missing.begin(), missing.end(), [&](const placement::NotPlaced& item) {
        return wantsRoom(item.reason_) && specOf(*parseTaskId(item.task_)).priority_.tier_ == Tier::Paying;
    });
    if (first == missing.end())
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
        if (owner_.proposedEnds_.contains({ key, owner_.ledger_.find(key)->attempt_ }))
            continue;
        owner_.runs_[key].evicting_ = true;
        stop(key, hosting::StopKind::Checkpoint);
    }
}

} // namespace persimmondoor::jobs
