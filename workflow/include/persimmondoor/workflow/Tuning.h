/// Times and bounds of the decisions of the queues' leader.
///
/// \code
/// Tuning tuning;
/// tuning.taskLease_ = std::chrono::milliseconds(5000);
/// LeaderState state = restoreState(epoch, tuning, rows, bounds, now);
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"

#include <cstddef>
#include <cstdint>

namespace persimmondoor::workflow {

/// Times and bounds of the leader. The settings of the deployment replace those that they state.
struct Tuning {
    /// Lease of the tasks on a worker, granted with each reply to its agent. Below the 10 s that workers allow at most,
    /// and above the network partitions of 5 to 6 s that tasks must survive.
    Duration taskLease_ { std::chrono::milliseconds(7500) };
    /// A leader grants full leases for this long after it sent its last durable write; the leader writes at least this often.
    /// Later leases are shorter and end with the last full one, which is the bound that the write stores for a successor.
    Duration fullLeasePeriod_ { std::chrono::milliseconds(500) };
    /// A leader of an earlier version, which stores no bound, grants full leases for this long after its last durable write.
    Duration grantPeriodWithoutBound_ { std::chrono::milliseconds(4000) };
    /// The leases of a worker that no agent has reported for this long are suspended, and their bound is stored. Two intervals
    /// of the agents' reports.
    Duration suspendLeasesAfter_ { std::chrono::milliseconds(1000) };
    /// New jobs are refused once the last durable write is older than this; the leader writes at least twice a second.
    Duration maximumWriteAge_ { std::chrono::milliseconds(1500) };
    /// Once the store has failed for this long, jobs that were never sent to the store are refused, and new jobs are
    /// refused at once. Below half of the shortest time-out of clients.
    Duration refuseAfterStoreFailure_ { std::chrono::milliseconds(700) };
    /// Bound on how much slower a worker's clock may run, in percent (stated by the platform).
    int64_t clockDriftPercent_ { 2 };
    /// Allowance for the delivery of a lease, in addition to the clock drift.
    Duration leaseSlack_ { std::chrono::milliseconds(300) };
    /// A worker whose last report is older than this gets no new runs; agents report at least every 500 ms.
    Duration maximumReportAge_ { std::chrono::milliseconds(1500) };
    /// A task whose run was lost on a silent worker is not started again, once the worker's agent is back, until that worker's
    /// lists have arrived, the worker is known to have ended, or this time has passed since the agent first attached again.
    /// Does not apply to long-running tasks.
    Duration maximumListWait_ { std::chrono::milliseconds(4000) };
    /// An order whose outcome has not been reported is sent again after this time.
    Duration resendAfter_ { std::chrono::milliseconds(400) };
    /// A run that its worker still lists this long after it was ordered to stop is ordered to stop again, provided that the
    /// first order is completed; a stop takes at most 0.9 s.
    Duration stopRetryInterval_ { std::chrono::milliseconds(1200) };
    /// A run without progress for this long counts as hung: the run is stopped and the task is started on another worker.
    /// Four periods of the agents' readings. Does not apply to filling tasks, gangs, and long-running tasks that have
    /// started up.
    Duration hungAfter_ { std::chrono::milliseconds(2000) };
    /// A filling task that has been slowed down for this long is moved if another worker can run it at nearly full speed.
    /// Two periods of the agents' readings; the stop then takes up to 0.9 s more.
    Duration moveSlowedTaskAfter_ { std::chrono::milliseconds(1000) };
    /// A job without assigned tasks whose filling tasks have waited this long for a worker where they disturb no
    /// long-running task is placed regardless of interference: after 3 s the job counts as lost (stated by the platform).
    Duration ignoreInterferenceAfter_ { std::chrono::milliseconds(1500) };
    /// One task of a job of which nothing has run for this long is placed even where other filling tasks have all the cores that
    /// long-running tasks leave unused, if no more than this share of the capacity of its service, in percent, is taken without the
    /// cores of filling tasks; its next task follows at once. Slowed tasks keep their place, so that the job may otherwise wait
    /// without end. It counts as lost if it has nothing running now nor 3 s later, with under half of the capacity in use (stated by
    /// the platform), so that waits of one task after another must stay well below that, the start and its report included.
    Duration shareCoresAfter_ { std::chrono::milliseconds(500) };
    int64_t maximumTakenPercent_ { 60 };
    /// After a takeover, tasks that interfere with each other wait at most this long for workers that are known from the
    /// predecessor's rows and that no agent has reported yet. Otherwise, after all workers have restarted, the first ones
    /// to return get long-running tasks of every image, and no worker is left where a filling task does no harm.
    Duration maximumWorkerWait_ { std::chrono::milliseconds(1000) };
    /// Bound on the filling tasks that one check moves: each move changes the load that the other tasks meet.
    uint32_t maximumMovesPerCheck_ { 4 };
    /// A worker that refused a run for a reason that concerns the worker or its agent rather than the run gets no new runs
    /// for this time.
    Duration refusalBackoff_ { std::chrono::milliseconds(200) };
    /// For this time after such a refusal the worker is chosen only if no other has room. Otherwise a few workers that refuse
    /// every run get it in turn, and one that would start it never does.
    Duration lastChoiceAfterRefusal_ { std::chrono::milliseconds(5000) };
    /// Number of consecutive failures, each the first of its task, after which a worker is quarantined.
    uint32_t failuresBeforeQuarantine_ { 3 };
    /// Duration of a worker's first quarantine; each further one doubles it, up to the maximum.
    Duration initialQuarantine_ { std::chrono::milliseconds(2000) };
    Duration maximumQuarantine_ { std::chrono::milliseconds(8000) };
    /// A quarantined worker gets at most one task in this time, as a probe, if no other worker has room for the task: a long-running
    /// one, which has to run again after 6 s at the latest (stated by the platform), or one of a job that stands still.
    Duration probeInterval_ { std::chrono::milliseconds(1000) };
    /// A run that has been at work for this long shows that its worker runs tasks.
    Duration provenAfter_ { std::chrono::milliseconds(1000) };
    /// With more ready jobs than this, placement runs at most once per `placementInterval_`: placement visits all ready
    /// jobs and all workers, and under a backlog the order of the jobs matters more than milliseconds.
    size_t backlogThreshold_ { 20 };
    Duration placementInterval_ { std::chrono::milliseconds(20) };
    /// Bound on the workers that one round looks at, beyond those of one job; the jobs that are left come first in the next round,
    /// which is due after the second time. The leader answers other messages meanwhile.
    uint64_t maximumPlacementVisits_ { 100'000 };
    Duration cutPlacementInterval_ { std::chrono::milliseconds(120) };
    /// Without a backlog, jobs that found no worker are tried again at most once in this time.
    Duration retryPlacementInterval_ { std::chrono::milliseconds(5) };
    /// Interval of the checks for a failed store, expired leases, hung runs, slowed filling tasks and expired jobs. A tenth
    /// of `hungAfter_`. The time-outs that the checks enforce are prolonged by up to this time, the shortest of them
    /// (`refuseAfterStoreFailure_`) included.
    Duration checkInterval_ { std::chrono::milliseconds(200) };
    /// Interval of the log lines on the backlog while tasks wait for a worker.
    Duration backlogReportInterval_ { std::chrono::milliseconds(1000) };
    /// Long-running tasks that have waited this long for a worker are logged, in this interval.
    Duration reportWaitAfter_ { std::chrono::milliseconds(1000) };
    Duration waitReportInterval_ { std::chrono::milliseconds(1000) };
    /// A job with nothing running for this long is logged. Two intervals of the agents' reports, within which starts are listed;
    /// a third of the time after which the job counts as lost (stated by the platform).
    Duration reportJobWaitAfter_ { std::chrono::milliseconds(1000) };
    /// Bound on such lines at a time, so that a backlog leaves the log room for other lines.
    size_t maximumReportedJobs_ { 20 };
    /// A job that waits for its schedule alone is logged if it is due within this time: a clock that has been set back delays
    /// it by at most that much unseen, and jobs that are due in hours are not of interest.
    Duration reportUndueWithin_ { std::chrono::seconds(60) };
    /// A long-running task that has waited this long for room gets room held on the worker that has least to free for it.
    /// Otherwise shorter and smaller tasks take all room that becomes free, as they fit in sooner.
    Duration holdRoomAfter_ { std::chrono::milliseconds(500) };
    /// Bounds on the holds at a time, as cores stay idle until a hold is used: as a share of the workers that accept runs,
    /// in percent, and as a number.
    size_t maximumHeldPercent_ { 25 };
    size_t maximumHolds_ { 16 };
    /// A hold that was not used within this time is moved, if another worker can make room.
    Duration maximumHoldTime_ { std::chrono::milliseconds(3000) };
    /// A job that stands still, or a long-running task that has waited for this long, may use the room of a hold that is older than
    /// this.
    Duration passOverHoldAfter_ { std::chrono::milliseconds(2000) };
    /// Bound on the searches for a worker that find none, in one update of the holds: each visits all workers. Tasks that have
    /// failed or whose step bounds the tasks per worker have as many of their own.
    size_t maximumHoldSearches_ { 4 };
    /// A run has outlived its start once this many load readings of its worker contained it.
    uint32_t readingsToOutliveStart_ { 2 };
    /// A job is given up once one of its tasks has had this many runs in series that were lost as their worker crashed just
    /// after their start. The second number applies if no other run on the worker had started then.
    uint32_t crashesBeforeFailure_ { 3 };
    uint32_t soleCrashesBeforeFailure_ { 2 };
    /// A crash before which the worker had not confirmed the start counts half of one: the worker may have crashed before the order
    /// arrived, or the task may crash workers before they answer. With this many crashes in series the job is given up in any case.
    uint32_t anyCrashesBeforeFailure_ { 4 };
    /// A task under which a worker has crashed is started where no other run is started until a reading shows it, this long
    /// after the worker listed it. A further crash then shows its fault, and no other suspect is lost with it.
    Duration observationTime_ { std::chrono::milliseconds(250) };
    /// Bound on the share of workers that start no other run for this reason, in percent; other suspects wait for one of
    /// them, at most for the time below.
    size_t maximumObservedPercent_ { 50 };
    Duration maximumSuspectWait_ { std::chrono::milliseconds(2000) };
    /// Crashes of a task's workers are in series if the age of its run then differs by at most this much, or this share, from that
    /// at the previous crash. A run that is older than the longest age has outlived the series.
    Duration crashAgeTolerance_ { std::chrono::milliseconds(500) };
    int64_t crashAgeTolerancePercent_ { 20 };
    Duration longestCrashAge_ { std::chrono::milliseconds(15000) };
    /// A task is a late suspect from this many crashes in series on. Its job is given up with the second number of crashes that
    /// are evidence, or with the third number in series if one of them is.
    uint32_t crashesBeforeSuspicion_ { 2 };
    uint32_t evidenceBeforeFailure_ { 2 };
    uint32_t crashesInSeriesBeforeFailure_ { 5 };
    /// Workers are lost together if their losses are at most this far apart. Such a loss counts for no series from this many
    /// workers and this share of all on, unless a late suspect was on each of them.
    Duration lossWindow_ { std::chrono::milliseconds(500) };
    size_t fewestInMassLoss_ { 4 };
    size_t massLossPercent_ { 20 };
    Duration lossRetention_ { std::chrono::milliseconds(30000) };
    /// Bound on the time for which no other run is started beside a late suspect, and on the time that it waits for a worker
    /// without another one.
    Duration longestLateObservation_ { std::chrono::milliseconds(2000) };
    Duration longestIsolationWait_ { std::chrono::milliseconds(5000) };
    /// Finished jobs are kept for at least this long; the settings state how long clients may query them.
    Duration finishedJobRetention_ { std::chrono::seconds(120) };
    /// Bound on the early cancellations, beyond which new ones are refused. They are kept for as long as finished jobs, since a late
    /// submission of either must not run.
    size_t maximumEarlyCancellations_ { 8000 };
    /// Bound on the unfinished jobs, beyond which new ones are refused; keeps an entry within its 160 MB of memory.
    size_t maximumOpenJobs_ { 8000 };
    /// Bound on the tasks of all jobs that are kept, beyond which new jobs are refused; keeps an entry within its 160 MB of memory,
    /// also one that takes over.
    size_t maximumTasks_ { 120'000 };
    /// Time after which a client should retry a call about a job that cannot be read, until an operator has mended its row.
    Duration retryUnreadableAfter_ { std::chrono::seconds(5) };
    /// The oldest held end of a worker is given up when this many ends have followed it: a worker lists its 500 oldest
    /// unacknowledged ends only, and later ones must not be missed.
    uint64_t maximumEndsAfterHeldEnd_ { 250 };
    /// Time after which a refused client should retry. While the store fails, as long as it has failed for, up to the maximum:
    /// clients retry a few times only, and their last attempt should not fall into the same outage.
    Duration retryAfter_ { std::chrono::milliseconds(1000) };
    Duration maximumRetryAfter_ { std::chrono::milliseconds(2000) };

    /// How many times as long a task takes away from the rack of its data, or a gang on more than one rack. With 1, no task
    /// waits for a near place.
    double farFactor_ { 1 };
    /// A task whose near run would save less than this does not wait for it: the start of a run takes about as long.
    Duration shortestNearGain_ { std::chrono::milliseconds(50) };
    /// Longest wait for a near place, as a share of the time that a near run saves, in percent. A task then takes at most about
    /// twice as long as with the better of the two places. Under a backlog, others use the room that the task leaves free.
    int64_t nearWaitPercent_ { 100 };
    int64_t contendedNearWaitPercent_ { 150 };
    /// Bound on the waits for a near place of a job of which nothing runs, from the moment since which nothing does. Well below
    /// the 3 s after which it counts as lost (stated by the platform), as the start and its report follow.
    Duration maximumStandingWait_ { std::chrono::milliseconds(800) };
    /// Bound on each wait for a near place, also where only a near run can meet the job's objective.
    Duration maximumNearWait_ { std::chrono::seconds(10) };
    /// Bounds on the tasks that wait for a near place at a time, and on the log lines about them in one `waitReportInterval_`.
    size_t maximumNearWaits_ { 100 };
    size_t maximumNearWaitLines_ { 20 };
    /// Number of finished near and far runs from which their measured times correct `farFactor_` and the estimates.
    uint32_t runsBeforeCorrection_ { 8 };
    /// A worker is slow from the moment at which runs take this share of their time elsewhere, in percent, and until they take less
    /// than the second share. With 0 the speeds of workers are not compared, and none is slow.
    int64_t slowWorkerPercent_ { 0 };
    int64_t steadyWorkerPercent_ { 160 };
    /// What is known of a worker's speed fades with this half-life while no run there is read.
    Duration workerSpeedHalfLife_ { std::chrono::milliseconds(4000) };
    /// With more slow workers than this in a service, in percent, no task waits for another one.
    size_t maximumSlowWorkersPercent_ { 40 };
    /// Bound on the wait of a task for which only slow workers have room.
    Duration maximumSlowWait_ { std::chrono::seconds(10) };
    /// A run on a slow worker is moved if it would go on there for this share of the time that it takes elsewhere, in percent; that
    /// time includes the stop and the start.
    int64_t movePaysPercent_ { 200 };
    Duration moveTime_ { std::chrono::milliseconds(1000) };
    /// Room under shortage (`UrgentRoom`): a service is in a rush once work with an objective has been short of room for the first
    /// time, and until it has not been for the second, or for the third in all; the next rush begins after the pause at the
    /// earliest. Tasks count as short of room once they have waited for `rushDemandAge_`; what becomes free within `rushHorizon_`
    /// counts as room.
    Duration rushAfter_ { std::chrono::milliseconds(200) };
    Duration rushOverAfter_ { std::chrono::milliseconds(1500) };
    Duration maximumRush_ { std::chrono::seconds(20) };
    Duration rushPause_ { std::chrono::seconds(5) };
    Duration rushDemandAge_ { std::chrono::milliseconds(100) };
    Duration rushHorizon_ { std::chrono::milliseconds(250) };
    /// Bounds on the long-running tasks that are stopped for it: in one check, and in all, in percent of the service's; and how long
    /// a task is at work before it is stopped and between two stops. A predecessor's stops have taken effect within that time at
    /// work, so that a new leader counts them.
    uint32_t maximumStopsPerCheck_ { 12 };
    size_t maximumStoppedPercent_ { 25 };
    /// Share of the tasks of a long-running step that may be away for urgent work if the step states no number, in percent, rounded
    /// down; steps that state one come first. The platform's rule on availability binds stated numbers alone; 0 stops tasks of
    /// those steps only.
    uint32_t unstatedMissPercent_ { 20 };
    Duration minimumTimeAtWork_ { std::chrono::milliseconds(3000) };
    Duration minimumTimeBetweenStops_ { std::chrono::seconds(10) };
    /// Once nothing of a job has run for this long, its suspects no longer wait for the observation of others, nor for a worker
    /// without another one. Half of the time after which the job counts as lost (stated by the platform), as the start takes more.
    Duration longestSuspectStandstill_ { std::chrono::milliseconds(1500) };
    /// Admission of jobs. A job is refused if it is expected to end later than it has value by this margin, in percent of that
    /// time, as declared times are rough.
    int64_t admissionMarginPercent_ { 25 };
    /// No job is refused with a shorter wait ahead of it.
    Duration smallestRefusedWait_ { std::chrono::milliseconds(1000) };
    /// Time constant of the observed rate of finished work; outlasts the loss of a few workers for a moment.
    Duration drainWindow_ { std::chrono::milliseconds(4000) };
    /// The waiting work is summed up anew after this time, or after the time per unfinished job, whichever is longer: the sum
    /// visits them all.
    Duration surveyInterval_ { std::chrono::milliseconds(20) };
    Duration surveyIntervalPerJob_ { std::chrono::microseconds(20) };
    /// Share of the room that is promised to refused jobs that come back, in percent; new jobs need the rest.
    int64_t returningPercent_ { 50 };
    /// Bound on the time after which a refused job should come back.
    Duration maximumReturnAfter_ { std::chrono::seconds(30) };
    /// Bound on the refused jobs that are remembered; those beyond it count as new when they come back.
    size_t maximumRefusedJobs_ { 1024 };
    bool operator==(const Tuning&) const = default;
};

} // namespace persimmondoor::workflow
