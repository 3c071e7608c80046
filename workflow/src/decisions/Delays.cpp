#include "persimmondoor/workflow/Delays.h"

#include "LeaderRules.h"
#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::workflow {

Delays operator+(const Delays& left, const Delays& right)
{
    return { left.placement_ + right.placement_, left.write_ + right.write_, left.startup_ + right.startup_, left.work_ + right.work_, left.slowed_ + right.slowed_, left.repeated_ + right.repeated_ };
}

std::string describe(const Delays& delays)
{
    return concat("placement ", milliseconds(delays.placement_), " ms, write ", milliseconds(delays.write_), ", startup ", milliseconds(delays.startup_), ", work ", milliseconds(delays.work_), ", slowed ", milliseconds(delays.slowed_), ", repeated ", milliseconds(delays.repeated_));
}

RunTimes addPaceReading(RunTimes times, uint32_t pacePercent, Instant now)
{
    if (times.paceReadAt_)
        times.slowed_ += (now - *times.paceReadAt_) * (100 - std::min(pacePercent, 100U)) / 100;
    times.paceReadAt_ = now;
    return times;
}

Delays delaysOfRun(const RunTimes& times, Instant waitingSince, bool isDone, Instant now)
{
    Delays delays;
    // A run that a predecessor assigned may be older than this leader's first look at its step.
    delays.placement_ = std::max(Duration(0), times.assignedAt_ - waitingSince);
    if (!isDone) {
        delays.repeated_ = now - times.assignedAt_;
        return delays;
    }
    Instant releasedAt = times.releasedAt_.value_or(times.assignedAt_);
    // A short run may be over before the worker lists it.
    Instant listedAt = times.listedAt_.value_or(releasedAt);
    delays.write_ = releasedAt - times.assignedAt_;
    delays.startup_ = listedAt - releasedAt;
    delays.slowed_ = times.slowed_;
    delays.work_ = now - listedAt - times.slowed_;
    return delays;
}

static size_t stepNumberOf(const Job& job, const TaskKey& key)
{
    return key.occurrence_ * job.record_.spec_.steps().size() + key.step_;
}

void recordRunEnd(Job& job, const TaskKey& key, Task& task, bool isDone, Instant now)
{
    Instant waitingSince = task.waitingSince_.value_or(job.stepTimes_[stepNumberOf(job, key)].startableSince_.value_or(task.times_.assignedAt_));
    task.delays_ = task.delays_ + delaysOfRun(task.times_, waitingSince, isDone, now);
    task.waitingSince_ = now;
    // A start that came to nothing does not begin the wait for a run anew, as such starts may follow each other without end.
    bool wasListed = task.times_.listedAt_.has_value();
    if (wasListed || !task.withoutRunSince_)
        task.withoutRunSince_ = wasListed ? now : waitingSince;
}

std::optional<Instant> waitingSince(const Job& job, const TaskKey& key)
{
    const Task& task = job.tasks_[taskNumber(job, key)];
    if (task.progress_.phase_ != TaskPhase::Waiting)
        return std::nullopt;
    return task.withoutRunSince_ ? task.withoutRunSince_ : job.stepTimes_[stepNumberOf(job, key)].startableSince_;
}

void recordStepDone(const DecisionContext& context, Job& job, const TaskKey& key, const Task& lastTask)
{
    StepTimes& times = job.stepTimes_[stepNumberOf(job, key)];
    times.doneAt_ = context.now_;
    times.delays_ = lastTask.delays_;
    auto worker = context.state_.workers_.find(lastTask.progress_.worker_);
    times.domain_ = worker == context.state_.workers_.end() ? "" : worker->second.traits_.domain_;
}

// The one of `candidates` that was done last; empty if none has been done under this leader.
template <typename Steps>
static std::optional<uint32_t> lastDone(const Job& job, size_t first, const Steps& candidates)
{
    std::optional<uint32_t> last;
    for (uint32_t step : candidates) {
        const std::optional<Instant>& doneAt = job.stepTimes_[first + step].doneAt_;
        if (doneAt && (!last || *doneAt > *job.stepTimes_[first + *last].doneAt_))
            last = step;
    }
    return last;
}

// Delays along the chain of steps that ends with `last`, each of which waited for the one before it.
static Delays delaysOfChain(const Job& job, size_t first, std::optional<uint32_t> last)
{
    Delays sum;
    while (last) {
        sum = sum + job.stepTimes_[first + *last].delays_;
        last = lastDone(job, first, job.record_.spec_.steps()[*last].dependencies_);
    }
    return sum;
}

// Index in `stepTimes_` of the step that was done last; it determined the end of the job. Empty if none has been done under
// this leader.
static std::optional<size_t> lastDoneOf(const Job& job)
{
    size_t count = job.record_.spec_.steps().size();
    std::vector<uint32_t> steps(count);
    for (uint32_t step = 0; step < count; ++step)
        steps[step] = step;
    std::optional<size_t> latest;
    for (uint32_t occurrence = 0; occurrence < job.record_.spec_.occurrences(); ++occurrence) {
        size_t first = occurrence * count;
        std::optional<uint32_t> last = lastDone(job, first, steps);
        if (last && (!latest || *job.stepTimes_[first + *last].doneAt_ >= *job.stepTimes_[*latest].doneAt_))
            latest = first + *last;
    }
    return latest;
}

Delays delaysOf(const Job& job)
{
    std::optional<size_t> latest = lastDoneOf(job);
    if (!latest)
        return {};
    auto step = static_cast<uint32_t>(*latest % job.record_.spec_.steps().size());
    return delaysOfChain(job, *latest - step, step);
}

std::string describeExtent(const Job& job)
{
    std::optional<size_t> latest = lastDoneOf(job);
    std::string text = concat("queue ", job.record_.queue_.name_, ", ", job.tasks_.size(), " tasks");
    if (latest && !job.stepTimes_[*latest].domain_.empty())
        text += concat(", domain ", job.stepTimes_[*latest].domain_);
    return text;
}

} // namespace persimmondoor::workflow
