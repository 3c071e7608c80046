#include "Ledger.h"

#include "../Label.h"
#include "persimmondoor/core/Visitor.h"

#include <algorithm>

namespace persimmondoor::hosting {

using store::TaskReport;
using store::TaskState;

void ReportRules::record(HostDecision& decision, const TaskId& id, const HostedTask& task, TaskEvent event)
{
    Host& host = decision.state_;
    host.lastSequence_ = host.lastSequence_.next();
    host.events_[task.partition_].push_back({ host.lastSequence_, { id, task.attempt_ }, std::move(event) });
}

void ReportRules::raiseFence(Host& host, const TaskAttempt& task, AttemptFence::State state, Instant now)
{
    AttemptFence& known = host.fences_[task.task_];
    if (task.attempt_ < known.attempt_)
        return;
    known = { task.attempt_, state, now + stampLifetime, known.unacknowledgedEnds_ };
}

void ReportRules::recordEnd(HostDecision& decision, const TaskId& id, const HostedTask& task, TaskEvent event, Instant now)
{
    record(decision, id, task, std::move(event));
    raiseFence(decision.state_, { id, task.attempt_ }, AttemptFence::State::Started, now);
    ++decision.state_.fences_.at(id).unacknowledgedEnds_;
}

void ReportRules::remove(HostDecision& decision, const TaskId& id)
{
    Host& host = decision.state_;
    auto found = host.tasks_.find(id);
    host.committed_ = host.committed_ - found->second.resources_;
    host.tasks_.erase(found);
}

// Records that the worker runs the task and answers the calls that wait for the launch.
void ReportRules::markLaunched(HostDecision& decision, const TaskId& id)
{
    HostedTask& task = decision.state_.tasks_.at(id);
    if (task.phase_ != TaskPhase::Launching)
        return;
    task.phase_ = TaskPhase::Running;
    task.launch_.reset();
    task.isCallInFlight_ = false;
    record(decision, id, task, TaskStarted {});
    for (CallNumber call : task.callers_)
        decision.actions_.emplace_back(AnswerStart { call, Started {} });
    task.callers_.clear();
    if (task.stopAfterLaunch_)
        beginStop(decision, id, *task.stopAfterLaunch_);
}

void ReportRules::apply(HostDecision& decision, const LaunchAnswered& message, Instant now)
{
    Host& host = decision.state_;
    auto found = host.tasks_.find(message.task_.task_);
    if (found == host.tasks_.end() || found->second.attempt_ != message.task_.attempt_ || found->second.phase_ != TaskPhase::Launching)
        return;
    HostedTask& task = found->second;
    task.isCallInFlight_ = false;
    const TaskId id = message.task_.task_;
    std::visit(Visitor {
                   [&](const store::Launched&) { markLaunched(decision, id); },
                   // The worker refuses the task itself. The task counts as started and failed, so that it is not retried forever.
                   [&](const store::LaunchRefused& refused) {
                       markLaunched(decision, id);
                       recordEnd(decision, id, host.tasks_.at(id), TaskFailed { refused.detail_ }, now);
                       remove(decision, id);
                   },
                   [&](const store::Unavailable& unavailable) {
                       if (task.isLaunchUncertain_)
                           return;
                       for (CallNumber call : task.callers_)
                           decision.actions_.emplace_back(AnswerStart { call, StartRefused { StartRefusal::WorkerUnavailable, unavailable.detail_ } });
                       // Nothing was started, so the same attempt may be started later, unless a stop was requested.
                       bool stopRequested = task.stopAfterLaunch_.has_value();
                       if (stopRequested)
                           recordEnd(decision, id, task, TaskStopped {}, now);
                       remove(decision, id);
                       AttemptFence& fence = host.fences_[id];
                       fence.state_ = stopRequested ? AttemptFence::State::Blocked : AttemptFence::State::Open;
                   },
                   // The launch is idempotent and is repeated at the next TimePassed.
                   [&](const store::ReplyLost&) { task.isLaunchUncertain_ = true; },
               },
        message.outcome_);
}

void ReportRules::beginStop(HostDecision& decision, const TaskId& id, StopKind kind)
{
    HostedTask& task = decision.state_.tasks_.at(id);
    switch (task.phase_) {
    case TaskPhase::Launching:
        task.stopAfterLaunch_ = kind;
        return;
    case TaskPhase::Stopping:
        return;
    case TaskPhase::Checkpointing:
        if (kind == StopKind::Checkpoint)
            return;
        break;
    case TaskPhase::Running:
        break;
    }
    task.phase_ = kind == StopKind::Checkpoint ? TaskPhase::Checkpointing : TaskPhase::Stopping;
    task.isCallInFlight_ = false;
    continueStop(decision, id);
}

void ReportRules::continueStop(HostDecision& decision, const TaskId& id)
{
    HostedTask& task = decision.state_.tasks_.at(id);
    if (task.isCallInFlight_)
        return;
    if (task.phase_ == TaskPhase::Checkpointing && task.checkpointTries_ >= maximumCheckpointTries)
        task.phase_ = TaskPhase::Stopping;
    task.isCallInFlight_ = true;
    if (task.phase_ == TaskPhase::Checkpointing) {
        ++task.checkpointTries_;
        decision.actions_.emplace_back(CheckpointTask { { id, task.attempt_ } });
    } else
        decision.actions_.emplace_back(StopTask { { id, task.attempt_ } });
}

void ReportRules::recordCheckpoint(HostDecision& decision, const TaskId& id, HostedTask& task, const std::string& reference)
{
    if (reference.empty() || reference == task.checkpoint_)
        return;
    task.checkpoint_ = reference;
    record(decision, id, task, TaskCheckpointed { reference });
}

void ReportRules::apply(HostDecision& decision, const CheckpointAnswered& message, Instant)
{
    auto found = decision.state_.tasks_.find(message.task_.task_);
    if (found == decision.state_.tasks_.end() || found->second.attempt_ != message.task_.attempt_)
        return;
    HostedTask& task = found->second;
    if (message.reference_)
        recordCheckpoint(decision, found->first, task, *message.reference_);
    if (task.phase_ != TaskPhase::Checkpointing)
        return;
    task.isCallInFlight_ = false;
    if (!message.reference_)
        return;
    task.phase_ = TaskPhase::Stopping;
    continueStop(decision, message.task_.task_);
}

void ReportRules::apply(HostDecision& decision, const StopAnswered& message, Instant now)
{
    auto found = decision.state_.tasks_.find(message.task_.task_);
    if (found == decision.state_.tasks_.end() || found->second.attempt_ != message.task_.attempt_)
        return;
    HostedTask& task = found->second;
    // A launch whose outcome is unknown is stopped again until the worker reports its end or does not know the task.
    task.isCallInFlight_ = message.answer_ == StopAnswer::Done && task.phase_ != TaskPhase::Launching;
    // The end is read from the worker's report, unless the worker does not know the task.
    if (message.answer_ != StopAnswer::UnknownTask)
        return;
    for (CallNumber call : task.callers_)
        decision.actions_.emplace_back(AnswerStart { call, StartRefused { StartRefusal::WorkerUnavailable, "the task was stopped before its launch" } });
    recordEnd(decision, message.task_.task_, task, task.isExpiring_ ? TaskEvent(TaskLeaseLapsed {}) : TaskEvent(TaskStopped {}), now);
    remove(decision, message.task_.task_);
}

void ReportRules::adopt(HostDecision& decision, const TaskReport& report, PartitionNumber partition, Instant now)
{
    Host& host = decision.state_;
    HostedTask task { report.task_.attempt_, partition, report.resources_, TaskPhase::Running, report.leaseLeft_, now + report.leaseLeft_ };
    host.committed_ = host.committed_ + task.resources_;
    host.tasks_.emplace(report.task_.task_, std::move(task));
    raiseFence(host, report.task_, AttemptFence::State::Started, now);
}

void ReportRules::applyRunning(HostDecision& decision, const TaskReport& report, Instant now)
{
    Host& host = decision.state_;
    const TaskId& id = report.task_.task_;
    auto found = host.tasks_.find(id);
    auto fence = host.fences_.find(id);
    bool isFenced = fence != host.fences_.end() && (report.task_.attempt_ < fence->second.attempt_ || (report.task_.attempt_ == fence->second.attempt_ && fence->second.state_ == AttemptFence::State::Blocked));
    if (found == host.tasks_.end() && !isFenced)
        adopt(decision, report, decodeLabel(report.label_).value_or(PartitionNumber(std::numeric_limits<uint64_t>::max())), now);
    else if (found == host.tasks_.end() || found->second.attempt_ != report.task_.attempt_) {
        decision.actions_.emplace_back(StopTask { report.task_ });
        return;
    }
    markLaunched(decision, id);
    recordCheckpoint(decision, id, host.tasks_.at(id), report.checkpoint_);
}

TaskEvent ReportRules::toEvent(const TaskReport& report, bool isExpiring)
{
    switch (report.state_) {
    case TaskState::Finished:
        return TaskFinished { report.exitCode_, report.result_ };
    case TaskState::Failed:
        return TaskFailed { report.result_ };
    case TaskState::LeaseLapsed:
        return TaskLeaseLapsed {};
    case TaskState::Running:
    case TaskState::Stopped:
        break;
    }
    return isExpiring ? TaskEvent(TaskLeaseLapsed {}) : TaskEvent(TaskStopped {});
}

void ReportRules::applyEnded(HostDecision& decision, const TaskReport& report, Instant now)
{
    Host& host = decision.state_;
    const TaskId& id = report.task_.task_;
    auto found = host.tasks_.find(id);
    bool isHosted = found != host.tasks_.end() && found->second.attempt_ == report.task_.attempt_;
    if (isHosted) {
        markLaunched(decision, id);
        recordCheckpoint(decision, id, found->second, report.checkpoint_);
        recordEnd(decision, id, found->second, toEvent(report, found->second.isExpiring_), now);
        remove(decision, id);
    } else if (!host.hasWorkerReport_) {
        // The worker's first report to this incarnation of the agent. The owner may not have acknowledged the end.
        HostedTask task { report.task_.attempt_, decodeLabel(report.label_).value_or(PartitionNumber(std::numeric_limits<uint64_t>::max())) };
        recordCheckpoint(decision, id, task, report.checkpoint_);
        recordEnd(decision, id, task, toEvent(report, false), now);
    }
}

// A restarted worker has lost the tasks of its earlier incarnation.
void ReportRules::failTasksOfEarlierIncarnation(HostDecision& decision, const store::WorkerReport& report, Instant now)
{
    Host& host = decision.state_;
    bool isSameIncarnation = report.incarnation_ == host.workerIncarnation_;
    host.workerIncarnation_ = report.incarnation_;
    if (!host.hasWorkerReport_ || isSameIncarnation)
        return;
    std::vector<TaskId> lost;
    for (const auto& [id, task] : host.tasks_) {
        TaskAttempt attempt { id, task.attempt_ };
        bool isReported = std::any_of(report.tasks_.begin(), report.tasks_.end(), [&](const TaskReport& item) { return item.task_ == attempt; });
        if (!isReported && task.phase_ != TaskPhase::Launching)
            lost.push_back(id);
    }
    for (const TaskId& id : lost) {
        recordEnd(decision, id, host.tasks_.at(id), TaskFailed { "the worker was restarted and lost the task" }, now);
        remove(decision, id);
    }
}

void ReportRules::apply(HostDecision& decision, const WorkerReported& message, Instant now)
{
    failTasksOfEarlierIncarnation(decision, message.report_, now);
    for (const TaskReport& report : message.report_.tasks_) {
        if (report.state_ == TaskState::Running)
            applyRunning(decision, report, now);
        else
            applyEnded(decision, report, now);
    }
    decision.state_.hasWorkerReport_ = true;
}

} // namespace persimmondoor::hosting
