#include "OwnerRules.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <cctype>

namespace persimmondoor::workflow {

// Length of a job's id on its path, in hexadecimal digits.
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
            job.undone_.push_back(step.count_);
    }
    job.queue_ = record.queue_;
    job.record_ = std::move(record);
    return job;
}

// The answer to a job that is known already: a repeated submission is the same job.
static void acceptAgain(const Turn& turn, CallToken token, const Job& job)
{
    if (job.durable_)
        turn.act(AnswerClient { token, Accepted {} });
    else
        stage(turn.state_, job.record_.id_, AnswerClient { token, Accepted {} });
}

static void submit(const Turn& turn, const CallArrived& message, const Queue& queue, const JobId& id, const Submit& request)
{
    auto known = turn.state_.jobs_.find(id);
    if (known != turn.state_.jobs_.end())
        return acceptAgain(turn, message.token_, known->second);
    if (turn.state_.open_.size() >= turn.state_.tuning_.maximumOpenJobs_) {
        turn.remark("job.refused", id.value(), concat(turn.state_.open_.size(), " unfinished jobs are held, the most allowed"));
        return turn.act(AnswerClient { message.token_, NotAccepted { "too many unfinished jobs", turn.state_.tuning_.retryAfter_ } });
    }
    // What cannot be stored now is refused before it is taken, so that nothing of it will run.
    Instant writtenAt = turn.state_.grantsUntil_ - turn.state_.tuning_.leadershipLease_;
    if (turn.now_ - writtenAt > turn.state_.tuning_.storeSilence_ || isStoreAway(turn.state_, turn.now_)) {
        turn.remark("job.refused", id.value(), concat("no durable write for ", (turn.now_ - writtenAt).count() / 1000, " ms"));
        return turn.act(AnswerClient { message.token_, NotAccepted { "the store does not answer", turn.state_.tuning_.retryAfter_ } });
    }
    Job job = newJob({ id, queue, message.wallMs_, request.spec_ });
    turn.remark("job.taken", id.value(), concat("queue ", queue.name_, ", ", job.tasks_.size(), " tasks, configuration ", turn.state_.catalog_.version_));
    turn.state_.open_.insert(id);
    StagedJob& staged = stage(turn.state_, id);
    staged.withRecord_ = true;
    staged.effects_.emplace_back(AnswerClient { message.token_, Accepted {} });
    makeReady(turn.state_, job);
    turn.state_.jobs_.emplace(id, std::move(job));
    startReadyTasks(turn);
}

bool isStoreAway(const OwnerState& state, Instant now)
{
    return state.storeFailedAt_ && now - *state.storeFailedAt_ > state.tuning_.refuseAfter_;
}

// True if all that waits for the job is its submission, and no transaction for it has been sent.
static bool isUnsentSubmission(const StagedJob& staged)
{
    bool onlySubmitted = std::all_of(staged.effects_.begin(), staged.effects_.end(), [](const Effect& effect) {
        const auto* answer = std::get_if<AnswerClient>(&effect);
        return std::holds_alternative<ReleaseStart>(effect) || (answer && std::holds_alternative<Accepted>(answer->answer_));
    });
    return staged.withRecord_ && !staged.mayBeStored_ && onlySubmitted;
}

static void refuseUnsent(const Turn& turn, const JobId& id)
{
    Job& job = turn.state_.jobs_.at(id);
    turn.remark("job.refused", id.value(), concat("the store has failed for ", (turn.now_ - *turn.state_.storeFailedAt_).count() / 1000, " ms; nothing was sent to it"));
    // Nothing of it has left this process.
    stopTasks(turn, job, "job refused");
    StagedJob staged = std::move(turn.state_.staged_.at(id));
    turn.state_.staged_.erase(id);
    std::erase(turn.state_.stagedOrder_, id);
    turn.state_.open_.erase(id);
    turn.state_.ready_.erase(id);
    turn.state_.jobs_.erase(id);
    for (const Effect& effect : staged.effects_) {
        if (const auto* answer = std::get_if<AnswerClient>(&effect))
            turn.act(AnswerClient { answer->token_, NotAccepted { "the store does not answer", turn.state_.tuning_.retryAfter_ } });
    }
}

void refuseUnsentJobs(const Turn& turn)
{
    if (!isStoreAway(turn.state_, turn.now_))
        return;
    std::vector<JobId> unsent;
    for (const auto& [id, staged] : turn.state_.staged_) {
        if (isUnsentSubmission(staged))
            unsent.push_back(id);
    }
    for (const JobId& id : unsent)
        refuseUnsent(turn, id);
}

static void cancelJob(const Turn& turn, Job& job)
{
    job.cancelled_ = true;
    turn.state_.ready_.erase(job.record_.id_);
    stopTasks(turn, job, "job cancelled");
    closeIfEnded(turn, job);
}

static void cancel(const Turn& turn, CallToken token, const JobId& id)
{
    auto found = turn.state_.jobs_.find(id);
    if (found == turn.state_.jobs_.end())
        return turn.act(AnswerClient { token, NoSuchJob {} });
    Job& job = found->second;
    JobPhase phase = phaseOf(job);
    if (phase == JobPhase::Pending || phase == JobPhase::Running) {
        turn.remark("job.cancelled", id.value(), std::string(describe(phase)));
        cancelJob(turn, job);
        return stage(turn.state_, id, AnswerClient { token, CancelAccepted {} });
    }
    if (job.durable_ == phase)
        return turn.act(AnswerClient { token, CancelAccepted {} });
    stage(turn.state_, id, AnswerClient { token, CancelAccepted {} });
}

// What a client is told: nothing final before it is durable.
static JobPhase shownPhase(const Job& job)
{
    JobPhase durable = job.durable_.value_or(JobPhase::Pending);
    if (durable != JobPhase::Pending && durable != JobPhase::Running)
        return durable;
    return job.started_ ? JobPhase::Running : JobPhase::Pending;
}

static void lookAtJob(const Turn& turn, CallToken token, const JobId& id)
{
    auto found = turn.state_.jobs_.find(id);
    if (found == turn.state_.jobs_.end() || !found->second.durable_)
        return turn.act(AnswerClient { token, NoSuchJob {} });
    turn.act(AnswerClient { token, JobStatus { shownPhase(found->second) } });
}

static void countWaiting(const Turn& turn, CallToken token, const Queue& queue)
{
    uint64_t waiting = 0;
    for (const JobId& id : turn.state_.open_) {
        const Job& job = turn.state_.jobs_.at(id);
        bool sameQueue = job.record_.queue_.host_ == queue.host_ && job.record_.queue_.prefix_ == queue.prefix_;
        if (sameQueue && job.durable_ && !job.started_ && !job.cancelled_ && !job.failed_)
            ++waiting;
    }
    turn.act(AnswerClient { token, WaitingCount { waiting } });
}

namespace {

    struct VerbVisitor {
        const Turn& turn_;
        const CallArrived& message_;
        const Queue& queue_;
        const JobId& id_;

        void operator()(const Submit& request) const { submit(turn_, message_, queue_, id_, request); }
        void operator()(const Look&) const { lookAtJob(turn_, message_.token_, id_); }
        void operator()(const Cancel&) const { cancel(turn_, message_.token_, id_); }
    };

} // namespace

bool concernsKnownJob(const OwnerState& state, const ClientCall& call)
{
    const Queue* queue = state.catalog_.find(call.host_, call.path_);
    std::string id = queue ? call.path_.substr(queue->prefix_.size()) : "";
    return isJobId(id) && state.jobs_.count(JobId::of(id)) > 0;
}

void takeCall(const Turn& turn, const CallArrived& message)
{
    const ClientCall& call = message.call_;
    if (turn.state_.catalog_.version_ == 0)
        return turn.act(AnswerClient { message.token_, NotAccepted { "no configuration yet", turn.state_.tuning_.retryAfter_ } });
    const Queue* queue = turn.state_.catalog_.find(call.host_, call.path_);
    if (!queue)
        return turn.act(AnswerClient { message.token_, NoSuchQueue {} });
    std::string rest = call.path_.substr(queue->prefix_.size());
    if (rest.empty() && std::holds_alternative<Look>(call.verb_))
        return countWaiting(turn, message.token_, *queue);
    if (!isJobId(rest))
        return turn.act(AnswerClient { message.token_, Malformed { "the id of a job is 16 hexadecimal digits" } });
    Queue chosen = *queue;
    std::visit(VerbVisitor { turn, message, chosen, JobId::of(rest) }, call.verb_);
}

} // namespace persimmondoor::workflow
