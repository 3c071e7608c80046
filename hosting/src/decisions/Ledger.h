// Rules for the worker's reports and answers, and the steps of stopping a task, which the rules for orders share.
#pragma once

#include "persimmondoor/hosting/Host.h"

namespace persimmondoor::hosting {

// How long before the end of its lease a task is checkpointed and stopped.
inline Duration expiryMargin(const HostedTask& task)
{
    constexpr Duration longest = std::chrono::seconds(2);
    return std::min(longest, task.lease_ / 4);
}

struct ReportRules {
    static void apply(HostDecision&, const WorkerReported&, Instant now);
    static void apply(HostDecision&, const LaunchAnswered&, Instant now);
    static void apply(HostDecision&, const CheckpointAnswered&, Instant now);
    static void apply(HostDecision&, const StopAnswered&, Instant now);

    // Appends an event of the task to those reported to its partition's owner.
    static void record(HostDecision&, const TaskId&, const HostedTask&, TaskEvent);
    // Appends the last event of an attempt and raises the fence, so that repeated start orders have no effect.
    static void recordEnd(HostDecision&, const TaskId&, const HostedTask&, TaskEvent, Instant now);
    // Removes a task that does not run from the ledger and releases its resources.
    static void remove(HostDecision&, const TaskId&);
    // Begins to stop a task. A stop without a checkpoint overrides one with a checkpoint.
    static void beginStop(HostDecision&, const TaskId&, StopKind);
    // Calls the worker for the next step of stopping a task, unless a call is in flight.
    static void continueStop(HostDecision&, const TaskId&);
    // Raises the fence of the task, so that delayed start orders have no effect.
    static void raiseFence(Host&, const TaskAttempt&, AttemptFence::State, Instant now);

private:
    static void markLaunched(HostDecision&, const TaskId&);
    static void adopt(HostDecision&, const store::TaskReport&, PartitionNumber, Instant now);
    static void applyRunning(HostDecision&, const store::TaskReport&, Instant now);
    static void applyEnded(HostDecision&, const store::TaskReport&, Instant now);
    static void recordCheckpoint(HostDecision&, const TaskId&, HostedTask&, const std::string& reference);
    static void failTasksOfEarlierIncarnation(HostDecision&, const store::WorkerReport&, Instant now);
    static TaskEvent toEvent(const store::TaskReport&, bool isExpiring);
};

} // namespace persimmondoor::hosting
