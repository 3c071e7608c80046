#include "AdmissionSurvey.h"
#include "LeaderRules.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <cctype>

namespace persimmondoor::workflow {

// Length of a job's id in a path, in hexadecimal digits.
static constexpr size_t jobIdDigits = 16;

static bool isJobId(std::string_view text)
{
    return text.size() == jobIdDigits && std::all_of(text.begin(), text.end(), [](unsigned char digit) { return std::isxdigit(digit) != 0; });
}

static Job newJob(JobRecord record)
{
    Job job;
    const JobSpec& spec = record.spec_;
    job.tasks_.resize(size_t(spec.tasksPerOccurrence()) * spec.occurrences());
    for (uint32_t occurrence = 0; occurrence < spec.occurrences(); ++occurrence) {
        for (const Step& step : spec.steps())
            job.unfinishedTasks_.push_back(step.count_);
    }
    job.stepTimes_.resize(job.unfinishedTasks_.size());
    job.queue_ = record.queue_;
    job.record_ = std::move(record);
    return job;
}

// Answers the submission of a known job: a job is identified by its id, so that a repeated submission is idempotent.
static void answerRepeatedSubmission(const DecisionContext& context, CallToken token, const Job& job)
{
    if (job.durablePhase_)
        context.addAction(AnswerClient { token, Accepted {} });
    else
        stage(context.state_, job.record_.id_, AnswerClient { token, Accepted {} });
}

static void submit(const DecisionContext& context, const CallArrived& message, const Queue& queue, const JobId& id, const Submit& request)
{
    auto known = context.state_.jobs_.find(id);
    if (known != context.state_.jobs_.end())
        return answerRepeatedSubmission(context, message.token_, known->second);
    if (std::optional<NotAccepted> refusal = refuseCancelledJob(context, id))
        return context.addAction(AnswerClient { message.token_, *std::move(refusal) });
    if (context.state_.openJobs_.size() >= context.state_.tuning_.maximumOpenJobs_) {
        context.logEvent("job.refused", id.value(), concat(context.state_.openJobs_.size(), " unfinished jobs reach the bound"));
        return context.addAction(AnswerClient { message.token_, NotAccepted { "too many unfinished jobs", context.state_.tuning_.retryAfter_ } });
    }
    // A job that cannot be stored now is refused at once, so that none of its tasks can run.
    Instant writtenAt = context.state_.lastDurableWriteAt_;
    if (context.now_ - writtenAt > context.state_.tuning_.maximumWriteAge_ || isStoreUnavailable(context.state_, context.now_)) {
        context.logEvent("job.refused", id.value(), concat("no durable write for ", (context.now_ - writtenAt).count() / 1000, " ms"));
        return context.addAction(AnswerClient { message.token_, refuseUnstorable(context.state_, context.now_) });
    }
    Job job = newJob({ id, queue, message.wallMs_, request.spec_ });
    if (context.state_.taskCount_ + job.tasks_.size() > context.state_.tuning_.maximumTasks_) {
        context.logEvent("job.refused", id.value(), concat(job.tasks_.size(), " tasks beside ", context.state_.taskCount_, " exceed the bound"));
        return context.addAction(AnswerClient { message.token_, NotAccepted { "too many tasks", context.state_.tuning_.retryAfter_ } });
    }
    if (std::optional<NotAccepted> refusal = refuseHopelessJob(context, job))
        return context.addAction(AnswerClient { message.token_, *std::move(refusal) });
    context.logEvent("job.taken", id.value(), concat("queue ", queue.name_, ", ", job.tasks_.size(), " tasks, configuration ", context.state_.catalog_.version_));
    context.state_.openJobs_.insert(id);
    StagedJob& staged = stage(context.state_, id);
    staged.writesRecord_ = true;
    staged.effects_.emplace_back(AnswerClient { message.token_, Accepted {} });
    makeReady(context.state_, job);
    context.state_.taskCount_ += job.tasks_.size();
    context.state_.jobs_.emplace(id, std::move(job));
    startReadyTasks(context);
}

bool isStoreUnavailable(const LeaderState& state, Instant now)
{
    return state.storeFailedAt_ && now - *state.storeFailedAt_ > state.tuning_.refuseAfterStoreFailure_;
}

NotAccepted refuseUnstorable(const LeaderState& state, Instant now)
{
    Duration failing = state.storeFailedAt_ ? now - *state.storeFailedAt_ : Duration(0);
    return { "the store does not answer", std::clamp(failing, state.tuning_.retryAfter_, state.tuning_.maximumRetryAfter_) };
}

// True if only the submission of the job is staged, and no transaction for it has been sent.
static bool isUnsentSubmission(const StagedJob& staged)
{
    bool hasOnlySubmission = std::all_of(staged.effects_.begin(), staged.effects_.end(), [](const Effect& effect) {
        const auto* answer = std::get_if<AnswerClient>(&effect);
        return std::holds_alternative<ReleaseStart>(effect) || (answer && std::holds_alternative<Accepted>(answer->answer_));
    });
    return staged.writesRecord_ && !staged.mayBeStored_ && hasOnlySubmission;
}

// Removes a job of which nothing is stored, and gives the answer to all calls that wait for it. Its place in the order of writes
// stays for `dropUnstagedJobs`.
static void removeUnstoredJob(const DecisionContext& context, const JobId& id, const ClientAnswer& answer, std::string why)
{
    Job& job = context.state_.jobs_.at(id);
    context.logEvent("job.refused", id.value(), std::move(why));
    // No order for the job has been released, so that its starts are only withdrawn.
    stopTasks(context, job, "job refused");
    StagedJob staged = std::move(context.state_.staged_.at(id));
    context.state_.staged_.erase(id);
    context.state_.openJobs_.erase(id);
    context.state_.readyJobs_.erase(id);
    context.state_.taskCount_ -= job.tasks_.size();
    context.state_.jobs_.erase(id);
    for (const Effect& effect : staged.effects_) {
        if (const auto* waiting = std::get_if<AnswerClient>(&effect))
            context.addAction(AnswerClient { waiting->token_, answer });
    }
}

// Removes the jobs that are no longer staged from the order of writes.
static void dropUnstagedJobs(LeaderState& state)
{
    std::erase_if(state.stagedOrder_, [&](const JobId& id) { return state.staged_.count(id) == 0; });
}

void refuseUnsentJobs(const DecisionContext& context)
{
    if (!isStoreUnavailable(context.state_, context.now_))
        return;
    std::vector<JobId> unsent;
    for (const auto& [id, staged] : context.state_.staged_) {
        if (isUnsentSubmission(staged))
            unsent.push_back(id);
    }
    Duration failing = context.now_ - *context.state_.storeFailedAt_;
    for (const JobId& id : unsent)
        removeUnstoredJob(context, id, refuseUnstorable(context.state_, context.now_), concat("the store has failed for ", failing.count() / 1000, " ms; the job was not sent to it"));
    dropUnstagedJobs(context.state_);
}

void rejectSubmission(const DecisionContext& context, const JobId& id)
{
    context.noteJob(id);
    auto staged = context.state_.staged_.find(id);
    if (staged == context.state_.staged_.end() || !isUnsentSubmission(staged->second))
        return;
    removeUnstoredJob(context, id, Malformed { "the store rejects the job's rows, which may be too large" }, "the store rejects its rows");
    dropUnstagedJobs(context.state_);
}

static void cancelJob(const DecisionContext& context, Job& job)
{
    job.isCancelled_ = true;
    context.state_.readyJobs_.erase(job.record_.id_);
    stopTasks(context, job, "job cancelled");
    closeIfEnded(context, job);
}

static void cancel(const DecisionContext& context, CallToken token, const JobId& id)
{
    auto found = context.state_.jobs_.find(id);
    if (found == context.state_.jobs_.end())
        return cancelUnknownJob(context, token, id);
    Job& job = found->second;
    JobPhase phase = phaseOf(job);
    if (phase == JobPhase::Pending || phase == JobPhase::Running) {
        context.logEvent("job.cancelled", id.value(), std::string(describe(phase)));
        cancelJob(context, job);
        return stage(context.state_, id, AnswerClient { token, CancelAccepted {} });
    }
    if (job.durablePhase_ == phase)
        return context.addAction(AnswerClient { token, CancelAccepted {} });
    stage(context.state_, id, AnswerClient { token, CancelAccepted {} });
}

// The phase that clients are shown: a final phase only once it is durable.
static JobPhase reportedPhase(const Job& job)
{
    JobPhase durable = job.durablePhase_.value_or(JobPhase::Pending);
    if (durable != JobPhase::Pending && durable != JobPhase::Running)
        return durable;
    return job.hasStarted_ ? JobPhase::Running : JobPhase::Pending;
}

static void answerStatus(const DecisionContext& context, CallToken token, const JobId& id)
{
    auto found = context.state_.jobs_.find(id);
    if (found == context.state_.jobs_.end() || !found->second.durablePhase_)
        return context.addAction(AnswerClient { token, NoSuchJob {} });
    context.addAction(AnswerClient { token, JobStatus { reportedPhase(found->second) } });
}

static void countWaiting(const DecisionContext& context, CallToken token, const Queue& queue)
{
    uint64_t waiting = 0;
    for (const JobId& id : context.state_.openJobs_) {
        const Job& job = context.state_.jobs_.at(id);
        bool sameQueue = job.record_.queue_.host_ == queue.host_ && job.record_.queue_.prefix_ == queue.prefix_;
        if (sameQueue && job.durablePhase_ && !job.hasStarted_ && !job.isCancelled_ && !job.hasFailed_)
            ++waiting;
    }
    context.addAction(AnswerClient { token, WaitingCount { waiting } });
}

namespace {

    struct VerbVisitor {
        const DecisionContext& context_;
        const CallArrived& message_;
        const Queue& queue_;
        const JobId& id_;

        void operator()(const Submit& request) const { submit(context_, message_, queue_, id_, request); }
        void operator()(const GetStatus&) const { answerStatus(context_, message_.token_, id_); }
        void operator()(const Cancel&) const { cancel(context_, message_.token_, id_); }
    };

} // namespace

bool concernsKnownJob(const LeaderState& state, const ClientCall& call)
{
    const Queue* queue = state.catalog_.find(call.host_, call.path_);
    std::string id = queue ? call.path_.substr(queue->prefix_.size()) : "";
    return isJobId(id) && (state.jobs_.count(JobId::of(id)) > 0 || state.unreadableJobs_.count(JobId::of(id)) > 0);
}

void handleCall(const DecisionContext& context, const CallArrived& message)
{
    const ClientCall& call = message.call_;
    if (context.state_.catalog_.version_ == 0)
        return context.addAction(AnswerClient { message.token_, NotAccepted { "no configuration received yet", context.state_.tuning_.retryAfter_ } });
    const Queue* queue = context.state_.catalog_.find(call.host_, call.path_);
    if (!queue)
        return context.addAction(AnswerClient { message.token_, NoSuchQueue {} });
    std::string rest = call.path_.substr(queue->prefix_.size());
    if (rest.empty() && std::holds_alternative<GetStatus>(call.verb_))
        return countWaiting(context, message.token_, *queue);
    if (!isJobId(rest))
        return context.addAction(AnswerClient { message.token_, Malformed { "the id of a job is 16 hexadecimal digits" } });
    JobId id = JobId::of(rest);
    context.noteJob(id);
    if (context.state_.unreadableJobs_.count(id) > 0)
        return context.addAction(AnswerClient { message.token_, JobUnreadable { context.state_.tuning_.retryUnreadableAfter_ } });
    Queue chosen = *queue;
    std::visit(VerbVisitor { context, message, chosen, id }, call.verb_);
}

} // namespace persimmondoor::workflow
