#include "NearPlaceRound.h"

#include "PlacementScore.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/workflow/Urgency.h"

#include <algorithm>
#include <limits>

namespace persimmondoor::workflow {

// Filling and long-running tasks are placed by their interference and by what runs beside them; the latter have no end that a
// near place would bring forward.
static bool seeksDataRack(const Tuning& tuning, const Step& step)
{
    return tuning.farFactor_ > 1 && !step.dataRack_.empty() && !step.isFilling_ && !step.longRunning_;
}

static bool seeksCommonRack(const Tuning& tuning, const Step& step)
{
    return tuning.farFactor_ > 1 && step.rackSensitive_ && step.gang_ && step.count_ > 1 && !step.isFilling_ && !step.longRunning_;
}

// Estimated time of the longest chain of steps after the step.
static Duration chainAfter(const std::vector<Step>& steps, uint32_t first)
{
    std::vector<Duration> ends(steps.size(), Duration(-1));
    ends[first] = Duration(0);
    Duration longest(0);
    for (uint32_t number = first + 1; number < steps.size(); ++number) {
        for (uint32_t earlier : steps[number].dependencies_) {
            if (ends[earlier] >= Duration(0))
                ends[number] = std::max(ends[number], ends[earlier] + steps[number].estimate_);
        }
        longest = std::max(longest, ends[number]);
    }
    return longest;
}

// When the task has to be done for its job to meet its objective; empty if the job has none.
static std::optional<Instant> onTimeBy(const LeaderState& state, const Job& job, const TaskKey& key, Instant now)
{
    const JobSpec& spec = job.record_.spec_;
    if (isLongRunning(spec))
        return std::nullopt;
    const Schedule& schedule = spec.schedule();
    int64_t begin = spec.isTimed() ? schedule.firstDueMs_ + int64_t(key.occurrence_) * schedule.periodMs_ : job.record_.acceptedMs_;
    Duration left = std::chrono::milliseconds(begin - state.wallMs_) + objectiveOf(job);
    return now + left - chainAfter(spec.steps(), key.step_);
}

NearPlaceRound::NearPlaceRound(const DecisionContext& context)
    : context_(context)
    , places_(context.state_.nearPlaces_)
{
}

const std::vector<const Worker*>& NearPlaceRound::workersOf(const std::string& service)
{
    auto [workers, isNew] = workersByService_.try_emplace(service);
    if (!isNew)
        return workers->second;
    for (const auto& [incarnation, worker] : context_.state_.workers_) {
        if (worker.traits_.service_ == service)
            workers->second.push_back(&worker);
    }
    return workers->second;
}

RackForecast& NearPlaceRound::forecastOf(const std::string& service, const std::string& rack)
{
    std::map<std::string, RackForecast>& forecasts = forecasts_[service];
    auto known = forecasts.find(rack);
    if (known != forecasts.end())
        return known->second;
    std::vector<const Worker*> workers;
    for (const Worker* worker : workersOf(service)) {
        if (hasLabel(*worker, rack) && acceptsRuns(context_.state_, *worker, context_.now_))
            workers.push_back(worker);
    }
    return forecasts.try_emplace(rack, context_.state_, workers, context_.now_).first->second;
}

const std::set<std::string>& NearPlaceRound::racksOf(const std::string& service)
{
    auto [racks, isNew] = racksByService_.try_emplace(service);
    if (!isNew)
        return racks->second;
    for (const Worker* worker : workersOf(service)) {
        if (!rackOf(*worker).empty() && acceptsRuns(context_.state_, *worker, context_.now_))
            racks->second.emplace(rackOf(*worker));
    }
    return racks->second;
}

static int64_t countThatFit(int64_t free, int64_t demand)
{
    return demand > 0 ? std::max<int64_t>(free, 0) / demand : std::numeric_limits<int64_t>::max();
}

// Bound on the members of the gang that the worker can take.
static int64_t membersThatFit(const Worker& worker, const Step& step)
{
    if (!step.requiredLabel_.empty() && !hasLabel(worker, step.requiredLabel_))
        return 0;
    const Resources free = worker.traits_.capacity_ - worker.reserved_;
    int64_t members = step.maxPerWorker_ > 0 ? step.maxPerWorker_ : step.count_;
    members = std::min(members, countThatFit(freeMilliCores(worker), step.demand_.milliCores()));
    members = std::min(members, countThatFit(free.memoryBytes(), step.demand_.memoryBytes()));
    return std::min(members, countThatFit(free.accelerators(), step.demand_.accelerators()));
}

bool NearPlaceRound::mayFitNow(const std::string& service, const Step& step)
{
    int64_t members = 0;
    for (const Worker* worker : workersOf(service)) {
        int64_t fitting = membersThatFit(*worker, step);
        members += fitting > 0 && stateObstacle(context_.state_, *worker, context_.now_) == WorkerObstacle::None ? fitting : 0;
        if (members >= step.count_)
            return true;
    }
    return false;
}

std::optional<Instant> NearPlaceRound::standsStillSince(const Job& job)
{
    if (jobAtWork_ == job.record_.id_)
        return std::nullopt;
    // A start that is not carried out counts as work for as long as a standing job may wait.
    const Duration idle = context_.now_ - job.idleSince_.value_or(context_.now_);
    bool isStarting = idle < context_.state_.tuning_.maximumStandingWait_ && hasRunAtWork(context_.state_, job, context_.now_);
    if (isStarting || hasListedRunAtWork(context_.state_, job, context_.now_)) {
        jobAtWork_ = job.record_.id_;
        return std::nullopt;
    }
    // A new leader does not know for how long nothing has run, so that jobs with nothing running do not wait at first.
    bool isNewLeader = context_.now_ < context_.state_.awaitsWorkersUntil_;
    return isNewLeader ? context_.now_ - context_.state_.tuning_.maximumStandingWait_ : job.idleSince_.value_or(context_.now_);
}

NearWait* NearPlaceRound::findWait(const TaskKey& key)
{
    auto known = places_.waits_.find(key);
    return known == places_.waits_.end() ? nullptr : &known->second;
}

static bool isOfStep(const TaskKey& task, const TaskKey& other)
{
    return task.step_ == other.step_ && task.occurrence_ == other.occurrence_ && task.job_ == other.job_;
}

PlaceOptions NearPlaceRound::optionsOf(const Job& job, const TaskKey& key, const NearWait* wait)
{
    const LeaderState& state = context_.state_;
    if (!stepOptions_ || !isOfStep(stepOptions_->first, key)) {
        PlaceOptions options;
        options.now_ = context_.now_;
        options.runTime_ = nearRunTimeOf(places_.cost_, state.tuning_, stepOf(job, key).estimate_);
        // Only the runs of single tasks are measured.
        options.farFactor_ = stepOf(job, key).gang_ ? state.tuning_.farFactor_ : farFactorOf(places_.cost_, state.tuning_);
        options.onTimeBy_ = onTimeBy(state, job, key, context_.now_);
        options.isRoomContended_ = state.readyJobs_.size() > state.tuning_.backlogThreshold_;
        stepOptions_ = { key, options };
    }
    PlaceOptions options = stepOptions_->second;
    options.waitingSince_ = wait ? wait->since_ : context_.now_;
    options.standsStillSince_ = standsStillSince(job);
    return options;
}

bool NearPlaceRound::keepsWaiting(const Job& job, const TaskKey& key)
{
    NearWait* known = findWait(key);
    if (!known)
        return false;
    const Step& step = stepOf(job, key);
    RackForecast& forecast = forecastOf(job.queue_.service_, step.dataRack_);
    PlaceOptions options = optionsOf(job, key, known);
    options.nearOpensAt_ = forecast.opensAt(step, 1);
    PlaceDecision decision = choosePlace(options, context_.state_.tuning_);
    const auto* wait = std::get_if<WaitUntil>(&decision);
    if (!wait)
        return false;
    known->until_ = wait->moment_;
    forecast.reserve(step, 1, options.runTime_);
    return true;
}

bool NearPlaceRound::mustWait(const Job& job, const TaskKey& key, const WorkerIncarnation& chosen)
{
    const LeaderState& state = context_.state_;
    const Step& step = stepOf(job, key);
    if (!seeksDataRack(state.tuning_, step))
        return false;
    const TaskProgress& progress = job.tasks_[taskNumber(job, key)].progress_;
    // Where such a task runs matters more than for how long.
    if (progress.crashes_ > 0 || isLateSuspect(state.tuning_, progress))
        return false;
    PlaceOptions options = optionsOf(job, key, findWait(key));
    options.isNearOpen_ = hasLabel(state.workers_.at(chosen), step.dataRack_);
    if (options.isNearOpen_)
        return applyDecision(StartNear {}, options, key, step.dataRack_, {});
    RackForecast& forecast = forecastOf(job.queue_.service_, step.dataRack_);
    options.nearOpensAt_ = forecast.opensAt(step, 1);
    PlaceDecision decision = choosePlace(options, state.tuning_);
    if (!applyDecision(decision, options, key, step.dataRack_, concat("worker ", chosen.name_)))
        return false;
    forecast.reserve(step, 1, options.runTime_);
    return true;
}

GangPlace NearPlaceRound::placeOfGang(const Job& job, const TaskKey& first)
{
    const Step& step = stepOf(job, first);
    // A gang without room on any racks waits in any case.
    if (!seeksCommonRack(context_.state_.tuning_, step) || !mayFitNow(job.queue_.service_, step))
        return {};
    PlaceOptions options = optionsOf(job, first, findWait(first));
    std::vector<std::string> open;
    std::string best;
    for (const std::string& rack : racksOf(job.queue_.service_)) {
        std::optional<Instant> opensAt = forecastOf(job.queue_.service_, rack).opensAt(step, step.count_);
        if (opensAt && *opensAt <= context_.now_)
            open.insert(rack == step.dataRack_ ? open.begin() : open.end(), rack);
        bool isPreferred = opensAt == options.nearOpensAt_ && rack == step.dataRack_;
        if (!opensAt || (options.nearOpensAt_ && *opensAt >= *options.nearOpensAt_ && !isPreferred))
            continue;
        options.nearOpensAt_ = opensAt;
        best = rack;
    }
    if (!open.empty())
        return { false, std::move(open) };
    PlaceDecision decision = choosePlace(options, context_.state_.tuning_);
    if (!applyDecision(decision, options, first, best, concat("gang of ", step.count_)))
        return {};
    forecastOf(job.queue_.service_, best).reserve(step, step.count_, options.runTime_);
    return { true, {} };
}

void NearPlaceRound::noteStart(const Job& job, const TaskKey& key, const WorkerIncarnation& incarnation)
{
    if (forecasts_.empty())
        return;
    const Worker& worker = context_.state_.workers_.at(incarnation);
    for (auto& [service, forecasts] : forecasts_) {
        for (auto& [rack, forecast] : forecasts)
            forecast.addRun(worker, job, key);
    }
}

void NearPlaceRound::noteGangStart(const Job& job, const TaskKey& first, bool isNear)
{
    for (uint32_t index = 0; index < stepOf(job, first).count_; ++index) {
        TaskKey key { first.job_, first.occurrence_, first.step_, index };
        noteStart(job, key, job.tasks_[taskNumber(job, key)].progress_.worker_);
    }
    endWait(first, isNear, isNear ? "all members on one rack" : "members on several racks");
}

bool NearPlaceRound::applyDecision(const PlaceDecision& decision, const PlaceOptions& options, const TaskKey& key, const std::string& rack, const std::string& detail)
{
    if (const auto* far = std::get_if<StartFar>(&decision)) {
        endWait(key, false, describe(far->reason_));
        return false;
    }
    const auto* wait = std::get_if<WaitUntil>(&decision);
    if (!wait) {
        endWait(key, true, "a near worker has room");
        return false;
    }
    NearWait* known = findWait(key);
    if (!known && places_.waits_.size() >= context_.state_.tuning_.maximumNearWaits_)
        return false;
    if (!known) {
        beginWait(options, key, rack, wait->moment_, detail);
        return true;
    }
    known->rack_ = rack;
    known->until_ = wait->moment_;
    return true;
}

void NearPlaceRound::beginWait(const PlaceOptions& options, const TaskKey& key, const std::string& rack, Instant until, const std::string& detail)
{
    auto gain = Duration(static_cast<int64_t>(static_cast<double>(options.runTime_.count()) * (options.farFactor_ - 1)));
    places_.waits_[key] = { rack, options.now_, until, gain };
    Duration expected = *options.nearOpensAt_ - options.now_;
    context_.addAction(RecordLatency { "near_wait_expected", expected });
    logLine("place.wait_began", key, concat("rack ", rack, " instead of ", detail, "; opens in ", milliseconds(expected), " ms, worth ", milliseconds(until - options.now_), " ms; a near run takes ", milliseconds(options.runTime_), " ms, a far one ", milliseconds(gain), " ms more"));
}

void NearPlaceRound::endWait(const TaskKey& key, bool isWon, std::string_view why)
{
    auto known = places_.waits_.find(key);
    if (known == places_.waits_.end())
        return;
    NearWait wait = known->second;
    places_.waits_.erase(known);
    Duration waited = context_.now_ - wait.since_;
    context_.addAction(RecordLatency { isWon ? "near_wait_won" : "near_wait_lost", waited });
    if (isWon)
        context_.addAction(RecordLatency { "near_wait_saved", std::max(wait.gain_ - waited, Duration(0)) });
    logLine("place.wait_ended", key, concat(isWon ? "won" : "lost", " after ", milliseconds(waited), " ms; rack ", wait.rack_, "; ", why, "; a near run saves ", milliseconds(wait.gain_), " ms"));
}

void NearPlaceRound::endObsoleteWaits()
{
    std::vector<TaskKey> obsolete;
    // The waits are in the order of their jobs. Null if the job does not wait.
    const Job* job = nullptr;
    const JobId* id = nullptr;
    for (const auto& [key, wait] : places_.waits_) {
        if (!id || *id != key.job_) {
            id = &key.job_;
            auto known = context_.state_.jobs_.find(key.job_);
            job = known != context_.state_.jobs_.end() && context_.state_.readyJobs_.count(key.job_) > 0 ? &known->second : nullptr;
        }
        if (!job || job->tasks_[taskNumber(*job, key)].progress_.phase_ != TaskPhase::Waiting)
            obsolete.push_back(key);
    }
    for (const TaskKey& key : obsolete)
        endWait(key, false, "the task does not wait any more");
}

void NearPlaceRound::logLine(const char* event, const TaskKey& key, const std::string& detail)
{
    const Tuning& tuning = context_.state_.tuning_;
    if (context_.now_ - places_.linesSince_ >= tuning.waitReportInterval_) {
        if (places_.omittedLines_ > 0)
            context_.logEvent("place.waits_omitted", concat(places_.omittedLines_, " lines"), concat("within ", milliseconds(context_.now_ - places_.linesSince_), " ms"));
        places_.linesSince_ = context_.now_;
        places_.lines_ = 0;
        places_.omittedLines_ = 0;
    }
    if (places_.lines_ >= tuning.maximumNearWaitLines_) {
        ++places_.omittedLines_;
        return;
    }
    ++places_.lines_;
    context_.logEvent(event, describe(key), detail);
}

void recordDistance(const DecisionContext& context, const Job& job, const TaskKey& key, const Task& task)
{
    const Step& step = stepOf(job, key);
    auto worker = context.state_.workers_.find(task.progress_.worker_);
    if (step.gang_ || !seeksDataRack(context.state_.tuning_, step) || !task.times_.listedAt_ || worker == context.state_.workers_.end())
        return;
    DistanceCost& cost = context.state_.nearPlaces_.cost_;
    cost = addRun(cost, hasLabel(worker->second, step.dataRack_), context.now_ - *task.times_.listedAt_, step.estimate_);
}

const NearWait* nearWaitOf(const LeaderState& state, const Step& step, TaskKey key, Instant now)
{
    key.index_ = step.gang_ ? 0 : key.index_;
    auto wait = state.nearPlaces_.waits_.find(key);
    return wait == state.nearPlaces_.waits_.end() || wait->second.until_ < now ? nullptr : &wait->second;
}

} // namespace persimmondoor::workflow
