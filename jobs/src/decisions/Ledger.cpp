#include "persimmondoor/jobs/Ledger.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"

#include <algorithm>

namespace persimmondoor::jobs {

const Job* Ledger::find(const JobId& id) const
{
    auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

const Task* Ledger::find(const TaskKey& key) const
{
    const Job* job = find(key.job_);
    return job && key.index_ < job->tasks_.size() ? &job->tasks_[key.index_] : nullptr;
}

struct LedgerRules {
    Ledger& ledger_;
    std::vector<LedgerEffect>& effects_;

    void operator()(const JobSubmitted& record)
    {
        auto [position, added] = ledger_.jobs_.try_emplace(record.spec_.id_);
        if (!added)
            return;
        ledger_.lastSubmissionNumber_ = ledger_.lastSubmissionNumber_.next();
        Job& job = position->second;
        job.spec_ = record.spec_;
        job.submissionNumber_ = ledger_.lastSubmissionNumber_;
        job.tasks_.resize(record.spec_.taskCount_);
        job.liveTasks_ = record.spec_.taskCount_;
        job.submittedAt_ = record.at_;
        addToIndexes(job);
    }

    void operator()(const JobCancelled& record)
    {
        auto found = ledger_.jobs_.find(record.job_);
        if (found == ledger_.jobs_.end() || found->second.isCancelled_ || found->second.liveTasks_ == 0)
            return;
        Job& job = found->second;
        job.isCancelled_ = true;
        for (uint32_t position = 0; position < job.tasks_.size(); ++position) {
            TaskKey key { record.job_, position };
            Task& task = job.tasks_[position];
            if (isEnded(task.phase_))
                continue;
            if (const placement::Site* site = siteOf(task.phase_)) {
                effects_.emplace_back(StopRequired { key, task.attempt_, *site });
                task.phase_ = Stopping { *site };
            } else {
                endTask(job, key, task, Cancelled {}, record.at_);
            }
        }
    }

    void operator()(const TaskAssigned& record)
    {
        Job* job = findJob(record.task_);
        Task* task = findTask(record.task_);
        bool isWaiting = task && (std::holds_alternative<Queued>(task->phase_) || std::holds_alternative<Evicted>(task->phase_));
        if (!isWaiting || record.attempt_ != task->attempt_.next())
            return;
        ledger_.queue_.erase(queuePosition(*job, record.task_));
        task->attempt_ = record.attempt_;
        task->phase_ = Starting { record.site_ };
        addAssignment(*job, record.task_, record.site_);
        effects_.emplace_back(StartPermitted { record.task_, record.attempt_, record.site_ });
    }

    void operator()(const CheckpointSaved& record)
    {
        if (Task* task = findAttempt(record.task_, record.attempt_))
            task->checkpoint_ = record.reference_;
    }

    void operator()(const TaskReleased& record)
    {
        Task* task = findAttempt(record.task_, record.attempt_);
        if (!task)
            return;
        Job& job = *findJob(record.task_);
        if (!record.checkpoint_.empty())
            task->checkpoint_ = record.checkpoint_;
        bool neverRan = record.cause_ == ReleaseCause::NeverStarted;
        closeAttempt(job, record.task_, *task, false);
        if (job.isCancelled_)
            return endTask(job, record.task_, *task, Cancelled {}, record.at_);
        requeue(job, record.task_, *task, neverRan ? TaskPhase(Queued {}) : TaskPhase(Evicted {}));
    }

    void operator()(const TaskFinished& record)
    {
        Task* task = findAttempt(record.task_, record.attempt_);
        if (!task)
            return;
        Job& job = *findJob(record.task_);
        ++job.finishedTasks_;
        closeAttempt(job, record.task_, *task, false);
        endTask(job, record.task_, *task, Finished { record.exitCode_, record.result_ }, record.at_);
    }

    void operator()(const TaskFailed& record)
    {
        Task* task = findAttempt(record.task_, record.attempt_);
        if (!task)
            return;
        Job& job = *findJob(record.task_);
        countFailure(job, *task, record);
        closeAttempt(job, record.task_, *task, true);
        if (job.isCancelled_)
            return endTask(job, record.task_, *task, Cancelled {}, record.at_);
        if (failsEverywhere(job)) {
            requeue(job, record.task_, *task, Queued {});
            return endWaitingTasks(job, Failed { concat("job stopped after ", job.failures_, " failures at ", job.failedAt_.size(), " workers without a finished task; last error: ", record.reason_) }, record.at_);
        }
        if (task->failures_ < job.spec_.failureBudget_)
            return requeue(job, record.task_, *task, Queued {});
        std::string reason = concat("failed ", task->failures_, " times, at ", task->failedAt_.size(), " workers; last error: ", record.reason_);
        endTask(job, record.task_, *task, Failed { std::move(reason) }, record.at_);
    }

    void operator()(const JobUnplaceable& record)
    {
        auto found = ledger_.jobs_.find(record.job_);
        if (found == ledger_.jobs_.end())
            return;
        endWaitingTasks(found->second, Unplaceable { record.reason_ }, record.at_);
    }

    void operator()(const JobExpired& record)
    {
        auto found = ledger_.jobs_.find(record.job_);
        if (found == ledger_.jobs_.end() || found->second.liveTasks_ > 0)
            return;
        ledger_.ended_.erase({ found->second.endedAt_, record.job_ });
        ledger_.jobs_.erase(found);
    }

    void restoreJob(Job job)
    {
        JobId id = job.spec_.id_;
        auto [position, added] = ledger_.jobs_.insert_or_assign(std::move(id), std::move(job));
        assertInvariant(added, "a snapshot holds each job once");
        for (Task& task : position->second.tasks_) {
            if (std::holds_alternative<Running>(task.phase_) || std::holds_alternative<Checkpointing>(task.phase_))
                task.phase_ = Starting { *siteOf(task.phase_) };
        }
        addToIndexes(position->second);
    }

    void addToIndexes(const Job& job)
    {
        ledger_.liveTasks_ += job.liveTasks_;
        ledger_.lastSubmissionNumber_ = std::max(ledger_.lastSubmissionNumber_, job.submissionNumber_);
        if (job.liveTasks_ == 0)
            ledger_.ended_.insert({ job.endedAt_, job.spec_.id_ });
        for (uint32_t index = 0; index < job.tasks_.size(); ++index) {
            TaskKey key { job.spec_.id_, index };
            const TaskPhase& phase = job.tasks_[index].phase_;
            if (const placement::Site* site = siteOf(phase))
                addAssignment(job, key, *site);
            else if (!isEnded(phase))
                ledger_.queue_.insert(queuePosition(job, key));
        }
    }

    Job* findJob(const TaskKey& key)
    {
        auto found = ledger_.jobs_.find(key.job_);
        return found == ledger_.jobs_.end() ? nullptr : &found->second;
    }

    Task* findTask(const TaskKey& key)
    {
        Job* job = findJob(key);
        return job && key.index_ < job->tasks_.size() ? &job->tasks_[key.index_] : nullptr;
    }

    // Returns the task if `attempt` is its current attempt and has not ended, else null. The attempt number acts as the
    // fencing token of the task.
    Task* findAttempt(const TaskKey& key, Attempt attempt)
    {
        Task* task = findTask(key);
        return task && task->attempt_ == attempt && siteOf(task->phase_) ? task : nullptr;
    }

private:
    static QueuePosition queuePosition(const Job& job, const TaskKey& key) { return { job.spec_.priority_, job.submissionNumber_, key }; }

    void addAssignment(const Job& job, const TaskKey& key, const placement::Site& site)
    {
        ledger_.assigned_[site.worker_].insert(key);
        Resources& used = ledger_.used_[job.spec_.team_];
        used = used + job.spec_.resources_;
    }

    void closeAttempt(const Job& job, const TaskKey& key, const Task& task, bool failed)
    {
        placement::Site site = *siteOf(task.phase_);
        auto found = ledger_.assigned_.find(site.worker_);
        found->second.erase(key);
        if (found->second.empty())
            ledger_.assigned_.erase(found);
        Resources& used = ledger_.used_[job.spec_.team_];
        used = used - job.spec_.resources_;
        effects_.emplace_back(AttemptClosed { key, task.attempt_, std::move(site), failed, false });
    }

    void requeue(const Job& job, const TaskKey& key, Task& task, TaskPhase phase)
    {
        task.phase_ = std::move(phase);
        ledger_.queue_.insert(queuePosition(job, key));
        std::get<AttemptClosed>(effects_.back()).isRequeued_ = true;
    }

    void endTask(Job& job, const TaskKey& key, Task& task, TaskPhase phase, int64_t at)
    {
        assertInvariant(!isEnded(task.phase_), "a task ends once");
        ledger_.queue_.erase(queuePosition(job, key));
        task.phase_ = std::move(phase);
        --ledger_.liveTasks_;
        if (--job.liveTasks_ > 0)
            return;
        job.endedAt_ = at;
        ledger_.ended_.insert({ at, job.spec_.id_ });
    }

    // Ends the tasks of the job that have no attempt.
    void endWaitingTasks(Job& job, const TaskPhase& phase, int64_t at)
    {
        for (uint32_t position = 0; position < job.tasks_.size(); ++position) {
            Task& task = job.tasks_[position];
            if (!isEnded(task.phase_) && !siteOf(task.phase_))
                endTask(job, { job.spec_.id_, position }, task, phase, at);
        }
    }

    static bool failsEverywhere(const Job& job)
    {
        return job.finishedTasks_ == 0 && job.failures_ >= jobFailureLimit && job.failedAt_.size() >= jobFailureWorkers;
    }

    static void addDistinct(std::vector<WorkerName>& workers, const WorkerName& worker)
    {
        if (workers.size() < maximumFailedAtWorkers && std::find(workers.begin(), workers.end(), worker) == workers.end())
            workers.push_back(worker);
    }

    static void countFailure(Job& job, Task& task, const TaskFailed& record)
    {
        task.lastError_ = record.reason_;
        if (!record.isCounted_)
            return;
        const WorkerName& worker = siteOf(task.phase_)->worker_;
        addDistinct(task.failedAt_, worker);
        addDistinct(job.failedAt_, worker);
        ++task.failures_;
        ++job.failures_;
    }
};

Applied applyRecords(Ledger ledger, const std::vector<Record>& records)
{
    Applied applied { std::move(ledger), {} };
    LedgerRules rules { applied.ledger_, applied.effects_ };
    for (const Record& record : records)
        std::visit(rules, record);
    return applied;
}

Ledger markRunning(Ledger ledger, const TaskKey& key, Attempt attempt)
{
    std::vector<LedgerEffect> effects;
    Task* task = LedgerRules { ledger, effects }.findAttempt(key, attempt);
    if (task && std::holds_alternative<Starting>(task->phase_))
        task->phase_ = Running { *siteOf(task->phase_) };
    return ledger;
}

Ledger markCheckpointing(Ledger ledger, const TaskKey& key, Attempt attempt)
{
    std::vector<LedgerEffect> effects;
    Task* task = LedgerRules { ledger, effects }.findAttempt(key, attempt);
    if (task && !std::holds_alternative<Stopping>(task->phase_))
        task->phase_ = Checkpointing { *siteOf(task->phase_) };
    return ledger;
}

Ledger restoreLedger(std::vector<Job> jobs)
{
    Ledger ledger;
    std::vector<LedgerEffect> effects;
    for (Job& job : jobs) {
        LedgerRules { ledger, effects }.restoreJob(std::move(job));
    }
    return ledger;
}

} // namespace persimmondoor::jobs
