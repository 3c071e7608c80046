#include "RackForecast.h"

#include "PlacementScore.h"

#include <algorithm>

namespace persimmondoor::workflow {

// Position of the rack among the labels of a worker, after its machine type.
static constexpr size_t rackLabel = 1;
// A run that has outlived its estimate goes on for as long as it is overdue, and for this time at least.
static constexpr Duration shortestRest = std::chrono::milliseconds(50);
// Room that is taken for as long as the forecast looks ahead.
static constexpr Duration horizon = std::chrono::hours(1);

std::string_view rackOf(const Worker& worker)
{
    return worker.traits_.labels_.size() > rackLabel ? std::string_view(worker.traits_.labels_[rackLabel]) : std::string_view();
}

// The demand that counts against the capacity.
static Resources countedDemand(const Step& step)
{
    return step.isFilling_ ? step.demand_.withoutCores() : step.demand_;
}

static Instant expectedEnd(const Task& task, Duration runTime, Instant now)
{
    Instant end = task.times_.listedAt_.value_or(task.times_.releasedAt_.value_or(task.times_.assignedAt_)) + runTime;
    return end > now ? end : now + std::max(now - end, shortestRest);
}

Duration RackForecast::runTimeAt(const Worker& worker, const Step& step) const
{
    Duration runTime = nearRunTimeOf(state_.nearPlaces_.cost_, state_.tuning_, step.estimate_);
    if (step.dataRack_.empty() || hasLabel(worker, step.dataRack_))
        return runTime;
    return Duration(static_cast<int64_t>(static_cast<double>(runTime.count()) * farFactorOf(state_.nearPlaces_.cost_, state_.tuning_)));
}

void RackForecast::addRun(Room& room, const Step& step, const Task& task, Duration runTime) const
{
    room.used_ = room.used_ + countedDemand(step);
    if (!step.longRunning_)
        room.releases_.push_back({ expectedEnd(task, runTime, now_), countedDemand(step) });
}

bool RackForecast::endsEarlier(const Release& left, const Release& right)
{
    return left.at_ < right.at_;
}

RackForecast::RackForecast(const LeaderState& state, const std::vector<const Worker*>& workers, Instant now)
    : state_(state)
    , now_(now)
{
    rooms_.reserve(workers.size());
    const Job* job = nullptr;
    for (const Worker* worker : workers) {
        Room room { worker, {}, {}, 0, {} };
        for (const auto& [run, stopping] : worker->stoppingRuns_)
            room.used_ = room.used_ + stopping.demand_;
        for (const auto& [key, hold] : worker->holds_)
            room.used_ = room.used_ + hold.demand_;
        const Step* step = nullptr;
        Duration runTime(0);
        room.releases_.reserve(worker->assignedTasks_.size());
        for (const TaskKey& key : worker->assignedTasks_) {
            // The runs are in the order of their jobs and steps.
            if (!job || job->record_.id_ != key.job_)
                job = &state.jobs_.at(key.job_);
            if (const Step& next = stepOf(*job, key); step != &next) {
                step = &next;
                runTime = runTimeAt(*worker, next);
            }
            addRun(room, *step, job->tasks_[taskNumber(*job, key)], runTime);
        }
        std::sort(room.releases_.begin(), room.releases_.end(), endsEarlier);
        rooms_.push_back(std::move(room));
    }
}

void RackForecast::addRun(const Worker& worker, const Job& job, const TaskKey& key)
{
    auto room = std::find_if(rooms_.begin(), rooms_.end(), [&](const Room& other) { return other.worker_ == &worker; });
    if (room == rooms_.end())
        return;
    const Step& step = stepOf(job, key);
    addRun(*room, step, job.tasks_[taskNumber(job, key)], runTimeAt(worker, step));
    std::sort(room->releases_.begin(), room->releases_.end(), endsEarlier);
    forgetAnswer(*room);
}

std::optional<Instant> RackForecast::findOpening(const Room& room, const Step& step, Instant now)
{
    const Resources& capacity = room.worker_->traits_.capacity_;
    if (!step.demand_.fitsIn(capacity) || (!step.requiredLabel_.empty() && !hasLabel(*room.worker_, step.requiredLabel_)))
        return std::nullopt;
    Resources used = room.used_;
    Instant opensAt = now;
    for (const Release& release : room.releases_) {
        if ((used + step.demand_).fitsIn(capacity))
            return opensAt;
        used = used - release.demand_;
        opensAt = release.at_;
    }
    return (used + step.demand_).fitsIn(capacity) ? std::optional(opensAt) : std::nullopt;
}

void RackForecast::turnTo(const Step& step)
{
    if (demand_ == step.demand_ && requiredLabel_ == step.requiredLabel_)
        return;
    demand_ = step.demand_;
    requiredLabel_ = step.requiredLabel_;
    first_.reset();
    for (Room& room : rooms_)
        room.opensAt_.reset();
}

void RackForecast::forgetAnswer(Room& room)
{
    room.opensAt_.reset();
    first_.reset();
}

std::optional<Instant> RackForecast::openingOf(Room& room, const Step& step) const
{
    if (!room.opensAt_)
        room.opensAt_ = findOpening(room, step, now_);
    return *room.opensAt_;
}

size_t RackForecast::findFirst(const Step& step)
{
    turnTo(step);
    if (first_)
        return *first_;
    first_ = rooms_.size();
    std::optional<Instant> earliest;
    for (size_t number = 0; number < rooms_.size(); ++number) {
        Room& room = rooms_[number];
        if (step.maxPerWorker_ > 0 && room.members_ >= step.maxPerWorker_)
            continue;
        std::optional<Instant> at = openingOf(room, step);
        if (!at || (earliest && *at >= *earliest))
            continue;
        earliest = at;
        first_ = number;
        if (*at == now_)
            break;
    }
    return *first_;
}

std::optional<Instant> RackForecast::take(const Step& step, Duration runTime)
{
    size_t first = findFirst(step);
    if (first == rooms_.size())
        return std::nullopt;
    Room& room = rooms_[first];
    Instant at = **room.opensAt_;
    forgetAnswer(room);
    ++room.members_;
    room.used_ = room.used_ + step.demand_;
    Release release { at + runTime, step.demand_ };
    room.releases_.insert(std::upper_bound(room.releases_.begin(), room.releases_.end(), release, endsEarlier), release);
    return at;
}

std::optional<Instant> RackForecast::opensAt(const Step& step, uint32_t count)
{
    if (count == 1) {
        size_t first = findFirst(step);
        return first < rooms_.size() ? *rooms_[first].opensAt_ : std::nullopt;
    }
    // Members of a gang run at the same time: room that one of them has is not taken over by another.
    RackForecast trial = *this;
    std::optional<Instant> last;
    for (uint32_t member = 0; member < count; ++member) {
        std::optional<Instant> at = trial.take(step, horizon);
        if (!at || *at - now_ >= horizon)
            return std::nullopt;
        last = std::max(last.value_or(*at), *at);
    }
    return last;
}

void RackForecast::reserve(const Step& step, uint32_t count, Duration runTime)
{
    for (uint32_t task = 0; task < count; ++task)
        take(step, runTime);
    // The bound on members per worker holds within a gang.
    first_.reset();
    for (Room& room : rooms_)
        room.members_ = 0;
}

} // namespace persimmondoor::workflow
