// Which incarnations of workers the agent takes for the ones on its host.
#include "SupervisorRules.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::supervision {

using workflow::Heartbeat;
using workflow::WorkerIncarnation;

static bool areSameIncarnation(const WorkerIncarnation& left, const WorkerIncarnation& right)
{
    return left.name_ == right.name_ && left.bornMs_ == right.bornMs_;
}

// True if at most one of the two can be running: a name, a host and an address belong to one incarnation at a time.
static bool excludeEachOther(const WorkerIncarnation& left, const Address& leftAddress, const WorkerIncarnation& right, const Address& rightAddress)
{
    return left.name_ == right.name_ || (!left.host_.empty() && left.host_ == right.host_) || leftAddress == rightAddress;
}

static bool isKnownService(const SupervisorState& state, const std::string& service)
{
    return state.services_.empty() || state.services_.count(service) > 0;
}

// True if a worker that has answered ends the known one, which it excludes. A later birth tells, or else the service: no worker has
// one that is not known.
static bool mayReplace(const SupervisorState& state, const WorkerIncarnation& incarnation, const std::string& service, const WorkerIncarnation& known, const LocalWorker& knownWorker)
{
    if (incarnation.bornMs_ != known.bornMs_)
        return incarnation.bornMs_ > known.bornMs_;
    return !isKnownService(state, knownWorker.traits_.service_) && isKnownService(state, service);
}

// True if the heartbeat states other properties than the worker's that do not change during an incarnation.
static bool contradicts(const Heartbeat& heartbeat, const LocalWorker& worker)
{
    const workflow::WorkerTraits& stated = heartbeat.traits_;
    const workflow::WorkerTraits& known = worker.traits_;
    return heartbeat.address_ != worker.address_ || stated.service_ != known.service_ || stated.domain_ != known.domain_ || stated.labels_ != known.labels_;
}

// Returns why a confirmed worker shows that the heartbeat is outdated or wrong; empty if none does.
static std::string_view refutation(const SupervisorState& state, const Heartbeat& heartbeat)
{
    for (const auto& [incarnation, worker] : state.workers_) {
        if (!worker.isConfirmed_ || !excludeEachOther(incarnation, worker.address_, heartbeat.incarnation_, heartbeat.address_))
            continue;
        bool mayDiffer = mayReplace(state, heartbeat.incarnation_, heartbeat.traits_.service_, incarnation, worker);
        if (incarnation != heartbeat.incarnation_ && !mayDiffer)
            return "a worker that it excludes has answered";
        if (incarnation == heartbeat.incarnation_)
            return contradicts(heartbeat, worker) && !(mayDiffer && heartbeat.address_ == worker.address_) ? "it contradicts what the worker has stated" : "";
    }
    return isKnownService(state, heartbeat.traits_.service_) ? "" : "no such service is known";
}

// Bound on the end of all leases that a worker may hold when it is first seen. If another incarnation has answered this
// process of the agent at the same address, the worker was born after that, so that no earlier process has granted it a
// lease. Times of birth are not compared with the agent's start, as the time of day may step.
static Instant boundOnLeases(const DecisionContext& context, const Heartbeat& heartbeat)
{
    auto first = context.state_.firstAnswers_.find(heartbeat.address_);
    bool isBornUnderThisAgent = first != context.state_.firstAnswers_.end() && !areSameIncarnation(first->second, heartbeat.incarnation_);
    return isBornUnderThisAgent ? context.state_.leaseHorizon_ : context.now_ + context.state_.tuning_.longestLease_;
}

static void forgetUnconfirmed(const DecisionContext& context, const WorkerIncarnation& incarnation, std::string_view reason)
{
    context.state_.workers_.erase(incarnation);
    context.addAction(RemoveWorker { incarnation });
    context.logEvent("worker.unconfirmed", describe(incarnation), std::string(reason));
}

// Keeps heartbeats of names that no worker has from filling the memory.
static void makeRoomForUnconfirmed(const DecisionContext& context)
{
    size_t count = 0;
    auto oldest = context.state_.workers_.end();
    for (auto worker = context.state_.workers_.begin(); worker != context.state_.workers_.end(); ++worker) {
        if (worker->second.isConfirmed_)
            continue;
        ++count;
        if (oldest == context.state_.workers_.end() || worker->second.lastHeardAt_ < oldest->second.lastHeardAt_)
            oldest = worker;
    }
    if (count < context.state_.tuning_.maximumUnconfirmedWorkers_)
        return;
    const WorkerIncarnation dropped = oldest->first;
    forgetUnconfirmed(context, dropped, concat(count, " announced workers have not answered"));
}

static LocalWorker& addWorker(const DecisionContext& context, const Heartbeat& heartbeat)
{
    makeRoomForUnconfirmed(context);
    LocalWorker& worker = context.state_.workers_[heartbeat.incarnation_];
    worker.address_ = heartbeat.address_;
    worker.leaseEnd_ = boundOnLeases(context, heartbeat);
    context.addAction(AddWorker { heartbeat.incarnation_, heartbeat.address_ });
    context.logEvent("worker.seen", describe(heartbeat.incarnation_), concat("address ", heartbeat.address_.text(), ", service ", heartbeat.traits_.service_));
    return worker;
}

// Any process can send a heartbeat, so that it replaces no worker: `confirm` does once the announced one has answered.
void handleHeartbeat(const DecisionContext& context, const Heartbeat& heartbeat)
{
    if (std::string_view reason = refutation(context.state_, heartbeat); !reason.empty())
        return context.logEvent("heartbeat.ignored", describe(heartbeat.incarnation_), concat("address ", heartbeat.address_.text(), ", service ", heartbeat.traits_.service_, ": ", reason));
    auto found = context.state_.workers_.find(heartbeat.incarnation_);
    bool isKnown = found != context.state_.workers_.end();
    if (!isKnown && context.state_.endedWorkers_.count(heartbeat.incarnation_) > 0 && heartbeat.draining_)
        return;
    if (isKnown && found->second.address_ != heartbeat.address_) {
        // The answer of the address that was announced first tells.
        if (found->second.isListCallInFlight_)
            return;
        forgetUnconfirmed(context, heartbeat.incarnation_, concat("announced at ", heartbeat.address_.text(), " too"));
        isKnown = false;
    }
    LocalWorker& worker = isKnown ? found->second : addWorker(context, heartbeat);
    // The numbers of a stranger's heartbeats say nothing of those that correct them.
    bool isOutdated = isKnown && heartbeat.sequence_ <= worker.lastHeartbeat_ && !contradicts(heartbeat, worker);
    if (isOutdated)
        return;
    bool changed = worker.draining_ != heartbeat.draining_ || !(worker.traits_ == heartbeat.traits_);
    if (heartbeat.draining_ && !worker.draining_)
        context.logEvent("worker.draining", describe(heartbeat.incarnation_), concat(heartbeat.remainingMs_, " ms left"));
    worker.lastHeartbeat_ = heartbeat.sequence_;
    worker.lastHeardAt_ = context.now_;
    worker.traits_ = heartbeat.traits_;
    worker.draining_ = heartbeat.draining_;
    worker.leavesAt_ = context.now_ + std::chrono::milliseconds(heartbeat.remainingMs_);
    context.state_.hasChanges_ = context.state_.hasChanges_ || (changed && worker.isConfirmed_);
    requestLists(context, heartbeat.incarnation_, worker);
}

// Confirms a worker that has answered, and removes those that it excludes. One at another address that can be reached keeps it
// from being confirmed: the answer of that worker, or its silence, tells which of the two has ended.
static void confirm(const DecisionContext& context, const WorkerIncarnation& incarnation, LocalWorker& worker)
{
    std::vector<WorkerIncarnation> replaced;
    for (const auto& [other, known] : context.state_.workers_) {
        if (!known.isConfirmed_ || !excludeEachOther(other, known.address_, incarnation, worker.address_))
            continue;
        bool mayHaveEnded = !known.isReachable_ || known.address_ == worker.address_;
        if (!mayHaveEnded || !mayReplace(context.state_, incarnation, worker.traits_.service_, other, known))
            return;
        replaced.push_back(other);
    }
    for (const WorkerIncarnation& other : replaced)
        removeWorker(context, other, WorkerEnd::Replaced, concat("replaced by ", describe(incarnation)));
    worker.isConfirmed_ = true;
    context.state_.endedWorkers_.erase(incarnation);
    context.state_.hasChanges_ = true;
    context.logEvent("worker.confirmed", describe(incarnation), concat("answers at ", worker.address_.text()));
}

// Drops the announced workers that a confirmed one excludes which has answered a later request: it has not ended.
static void dropRefuted(const DecisionContext& context, const WorkerIncarnation& incarnation, const LocalWorker& worker, Instant askedAt)
{
    std::vector<WorkerIncarnation> refuted;
    for (const auto& [other, announced] : context.state_.workers_) {
        bool isRefuted = !announced.isConfirmed_ && announced.answeredAt_ && *announced.answeredAt_ < askedAt;
        if (isRefuted && excludeEachOther(other, announced.address_, incarnation, worker.address_))
            refuted.push_back(other);
    }
    for (const WorkerIncarnation& other : refuted)
        forgetUnconfirmed(context, other, concat(describe(incarnation), " still answers"));
}

void noteAnswer(const DecisionContext& context, const ListArrived& message, LocalWorker& worker)
{
    if (worker.isConfirmed_)
        return dropRefuted(context, message.worker_, worker, message.askedAt_);
    bool excludesOther = std::any_of(context.state_.workers_.begin(), context.state_.workers_.end(), [&](const auto& entry) {
        return entry.second.isConfirmed_ && excludeEachOther(entry.first, entry.second.address_, message.worker_, worker.address_);
    });
    // Without its birth, the answer may be that of another incarnation of the same name.
    if (excludesOther && message.lists_.bornMs_ == 0)
        return;
    if (!worker.answeredAt_)
        worker.answeredAt_ = context.now_;
    confirm(context, message.worker_, worker);
}

void confirmSuccessorsOf(const DecisionContext& context, const WorkerIncarnation& silent)
{
    std::vector<WorkerIncarnation> answered;
    for (const auto& [incarnation, worker] : context.state_.workers_) {
        if (!worker.isConfirmed_ && worker.answeredAt_ && incarnation != silent)
            answered.push_back(incarnation);
    }
    for (const WorkerIncarnation& incarnation : answered)
        confirm(context, incarnation, context.state_.workers_.at(incarnation));
}

} // namespace persimmondoor::supervision
