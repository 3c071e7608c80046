#include "persimmondoor/colocation/Guard.h"

#include "FixedRules.h"
#include "LearnedRules.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"

#include <algorithm>

namespace persimmondoor::colocation {

/// Number of samples kept for each service, and the minimum time between two: 32 s in all.
static constexpr size_t maximumSamples = 64;
static constexpr Duration samplePeriod = std::chrono::milliseconds(500);
static constexpr Duration maximumLag = std::chrono::seconds(30);
static constexpr double useSmoothing = 0.2;
static constexpr double tailSmoothing = 0.2;
static constexpr double loadSmoothing = 0.1;
/// Factor by which the lag estimate decays when a measurement arrives with a shorter lag.
static constexpr double lagDecay = 0.95;
/// At lower loads the processors used per request cannot be estimated.
static constexpr double minimumLoadForUse = 0.05;
/// A share must have been in force for this long before the measured usage is attributed to it.
static constexpr Duration shareSettlingTime = std::chrono::seconds(2);

std::string_view describe(Cause cause)
{
    switch (cause) {
    case Cause::LoadRose:
        return "load rose";
    case Cause::TaskArrived:
        return "task arrived";
    case Cause::Measurement:
        return "measurement";
    case Cause::Recovery:
        break;
    }
    return "recovery";
}

absl::StatusOr<Guard> Guard::create(const GuardSettings& settings)
{
    if (!(settings.cores_ > 0))
        return absl::InvalidArgumentError("the number of processors of a worker must be positive");
    Guard guard;
    guard.settings_ = settings;
    for (const ServiceName& service : settings.services_) {
        if (!guard.services_.emplace(service, GuardedService {}).second)
            return absl::InvalidArgumentError(concat("service ", service.value(), " is named twice in the settings of the guard"));
    }
    return guard;
}

bool Guard::admits(const TaskClassName& taskClass, Tier tier, double cores) const
{
    return std::visit(Visitor {
                          [&](const NoColocation&) { return services_.empty(); },
                          [](const Uncontrolled&) { return true; },
                          [&](const FixedThreshold&) { return accepting_; },
                          [&](const Learned& policy) { return LearnedRules::admits(*this, policy, taskClass, tier, cores); },
                      },
        settings_.policy_);
}

double Guard::pressure() const
{
    if (const auto* policy = std::get_if<Learned>(&settings_.policy_))
        return std::clamp(LearnedRules::makePlan(*this, *policy).pressure(), 0.0, 1.0);
    return accepting_ ? 0 : 1;
}

double Guard::share(const TaskId& task) const
{
    auto found = tasks_.find(task);
    return found == tasks_.end() ? 1 : found->second.share_;
}

bool Guard::shareChangedBefore(const TaskId& task, Instant at) const
{
    auto found = tasks_.find(task);
    return found == tasks_.end() || found->second.shareChangedAt_ < at;
}

struct GuardRules {
    static void apply(GuardDecision& decision, const TaskStarted& message, Instant now)
    {
        Guard& guard = decision.state_;
        GuardedTask task { message.class_, message.tier_, message.cores_, 1, now, now, now, message.runTime_, message.canCheckpoint_, false };
        if (!guard.tasks_.emplace(message.task_, task).second)
            return;
        if (const auto* policy = std::get_if<Learned>(&guard.settings_.policy_))
            LearnedRules::setInitialShare(decision, *policy, message.task_, now);
    }

    static void apply(GuardDecision& decision, const TaskEnded& message, Instant)
    {
        decision.state_.tasks_.erase(message.task_);
    }

    static void apply(GuardDecision& decision, const TaskCheckpointed& message, Instant now)
    {
        auto found = decision.state_.tasks_.find(message.task_);
        if (found != decision.state_.tasks_.end())
            found->second.checkpointedAt_ = now;
    }

    static void apply(GuardDecision& decision, const LoadSampled& message, Instant now)
    {
        Guard& guard = decision.state_;
        auto found = guard.services_.find(message.service_);
        if (found == guard.services_.end())
            return;
        GuardedService& service = found->second;
        service.load_ = std::max(0.0, message.load_);
        service.forecast_.observe(service.load_, now);
        service.steadyLoad_ += (service.history_.empty() ? 1 : loadSmoothing) * (service.load_ - service.steadyLoad_);
        service.steadyLoad_ = std::max(service.steadyLoad_, service.load_ - service.forecast_.rise());
        recordSample(guard, service, now);
        if (const auto* policy = std::get_if<Learned>(&guard.settings_.policy_))
            LearnedRules::act(decision, *policy, now);
    }

    static void apply(GuardDecision& decision, const TailMeasured& message, Instant now)
    {
        Guard& guard = decision.state_;
        auto found = guard.services_.find(message.service_);
        if (found == guard.services_.end() || message.measuredAt_ > now || message.measuredAt_ <= found->second.measuredAt_ || !(message.tail_ > 0))
            return;
        GuardedService& service = found->second;
        service.measuredAt_ = message.measuredAt_;
        service.lastTail_ = message.tail_;
        service.smoothedTail_ += (service.smoothedTail_ > 0 ? tailSmoothing : 1) * (message.tail_ - service.smoothedTail_);
        updateLag(guard, now - message.measuredAt_);
        updateModel(decision, service, message);
        if (const auto* policy = std::get_if<FixedThreshold>(&guard.settings_.policy_))
            FixedRules::act(decision, *policy, service, message.service_, now);
    }

    static void apply(GuardDecision& decision, const UsageSampled& message, Instant)
    {
        for (const TaskUse& use : message.uses_) {
            auto found = decision.state_.tasks_.find(use.task_);
            if (found == decision.state_.tasks_.end() || message.measuredAt_ - found->second.shareChangedAt_ < shareSettlingTime)
                continue;
            GuardedTask& task = found->second;
            task.fullUse_ += useSmoothing * (std::max(0.0, use.cores_) / task.share_ - task.fullUse_);
        }
    }

    static void apply(GuardDecision& decision, const EvictionFailed& message, Instant)
    {
        auto found = decision.state_.tasks_.find(message.task_);
        if (found != decision.state_.tasks_.end())
            found->second.isEvicting_ = false;
    }

    static void apply(GuardDecision& decision, const ModelPublished& message, Instant)
    {
        auto found = decision.state_.services_.find(message.service_);
        if (found != decision.state_.services_.end())
            found->second.model_ = message.model_;
    }

private:
    static void recordSample(Guard& guard, GuardedService& service, Instant now)
    {
        if (!service.history_.empty() && now - service.history_.back().at_ < samplePeriod)
            return;
        ContextSample sample { now, service.load_, 0, {} };
        double usedCores = 0;
        for (const auto& [name, each] : guard.services_)
            usedCores += each.load_ * each.coresPerLoad_;
        std::map<TaskClassName, double> shares;
        for (const auto& [name, task] : guard.tasks_) {
            double use = task.fullUse_ * task.share_;
            shares[task.class_] += use / guard.settings_.cores_;
            usedCores += use;
        }
        sample.saturation_ = usedCores / guard.settings_.cores_;
        for (const auto& [taskClass, share] : shares)
            sample.exposures_.push_back({ taskClass, share });
        service.history_.push_back(std::move(sample));
        if (service.history_.size() > maximumSamples)
            service.history_.pop_front();
    }

    static void updateLag(Guard& guard, Duration lag)
    {
        auto decayed = Duration(static_cast<int64_t>(static_cast<double>(guard.measurementLag_.count()) * lagDecay));
        guard.measurementLag_ = std::min(maximumLag, std::max(lag, decayed));
    }

    static const ContextSample* sampleAt(const GuardedService& service, Instant at)
    {
        auto later = std::find_if(service.history_.begin(), service.history_.end(), [&](const ContextSample& sample) { return sample.at_ > at; });
        return later == service.history_.begin() ? nullptr : &*std::prev(later);
    }

    static void updateModel(GuardDecision& decision, GuardedService& service, const TailMeasured& message)
    {
        if (!std::holds_alternative<Learned>(decision.state_.settings_.policy_))
            return;
        const ContextSample* sample = sampleAt(service, message.measuredAt_);
        if (!sample)
            return;
        if (sample->load_ >= minimumLoadForUse) {
            double coresPerLoad = message.cores_ / sample->load_;
            service.coresPerLoad_ += (service.coresPerLoad_ > 0 ? useSmoothing : 1) * (coresPerLoad - service.coresPerLoad_);
        }
        Observation observation { message.measuredAt_, sample->load_, sample->saturation_, sample->exposures_, message.tail_ };
        service.model_.observe(observation);
        decision.actions_.emplace_back(PublishObservation { message.service_, std::move(observation) });
    }
};

GuardDecision decide(Guard state, const GuardMessage& message, Instant now)
{
    GuardDecision decision { std::move(state), {} };
    std::visit([&](const auto& alternative) { GuardRules::apply(decision, alternative, now); }, message);
    return decision;
}

} // namespace persimmondoor::colocation
