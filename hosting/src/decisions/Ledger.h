// The steps of one hosted task that several messages share.
#pragma once

#include "persimmondoor/hosting/Host.h"

namespace persimmondoor::hosting {

// Time before the end of a lease at which a task is checkpointed and stopped.
inline Duration lapseMargin(const HostedTask& task)
{
    constexpr Duration longest = std::chrono::seconds(2);
    return std::min(longest, task.lease_ / 4);
}

// What the worker says of tasks.
struct ReportRules {
    static void apply(HostDecision&, const Reported&, Instant now);
    static void apply(HostDecision&, const LaunchEnded&, Instant now);
    static void apply(HostDecision&, const CheckpointEnded&, Instant now);
    static void apply(HostDecision&, const StopEnded&, Instant now);

    // Appends an event of the task for its partition's owner.
    static void record(HostDecision&, const TaskId&, const HostedTask&, TaskEvent);
    // Appends the last event of an attempt, and fences off its repetition.
    static void recordEnd(HostDecision&, const TaskId&, const HostedTask&, TaskEvent, Instant now);
    // Takes a task that does not run out of the ledger.
    static void remove(HostDecision&, const TaskId&);
    // Begins to stop a task; a stop without a checkpoint overtakes one with.
    static void beginStop(HostDecision&, const TaskId&, StopKind);
    // Does the next step towards the end of a task that is to be stopped.
    static void continueStop(HostDecision&, const TaskId&);
    // Raises the fence of the task, so that a late start order does nothing.
    static void fence(Host&, const TaskAttempt&, AttemptFence::Past, Instant now);

private:
    static void launched(HostDecision&, const TaskId&);
    static void adopt(HostDecision&, const store::TaskReport&, PartitionNumber, Instant now);
    static void applyRunning(HostDecision&, const store::TaskReport&, Instant now);
    static void applyEnded(HostDecision&, const store::TaskReport&, Instant now);
    static void learnCheckpoint(HostDecision&, const TaskId&, HostedTask&, const std::string& reference);
    static void loseTasksOfEarlierLife(HostDecision&, const store::WorkerReport&, Instant now);
    static TaskEvent toEvent(const store::TaskReport&, bool lapsing);
};

} // namespace persimmondoor::hosting
