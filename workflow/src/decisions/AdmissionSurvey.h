// Connects the admission of jobs with the leader's state.
#pragma once

#include "LeaderRules.h"

namespace persimmondoor::workflow {

// Updates the estimates with a run that has just ended as done; to be called while its task is still assigned. Runs that were
// slowed down or were on a worker under suspicion are ignored.
void observeCompletedRun(const DecisionContext&, const Job&, const TaskKey&, const Task&, const Worker&);

// Decides about a job that has been submitted and is in no state yet; counts the work of an admitted one. Logs a refusal. A job that
// comes back earlier than it was told to keeps the time of its first submission.
// \return the refusal; empty if the job is admitted.
std::optional<NotAccepted> refuseHopelessJob(const DecisionContext&, Job&);

// Drops what is known of queues and services that the configuration no longer holds. What their open jobs still teach is kept
// until the next change.
void forgetRemovedQueues(LeaderState&);

} // namespace persimmondoor::workflow
