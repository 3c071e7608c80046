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

static Instant expectedEnd(const LeaderState& state, const Task& task, const Step& step, const Worker& worker, Instant now)
{
    Duration runTime = nearRunTimeOf(state.nearPlaces_.cost_, state.tuning_, step.estimate_);
    if (!step.dataRack_.empty() && !hasLabel(worker, step.dataRack_))
        runTime = Duration(static_cast<int64_t>(static_cast<double>(runTime.count()) * farFactorOf(state.nearPlaces_.cost_, state.tuning_)));
    Instant end = task.times_.listedAt_.value_or(task.times_.releasedAt_.value_or(task.times_.assignedAt_)) + runTime;
    return end > now ? end : now + std::max(now - end, shortestRest);
}

void RackForecast::addRun(Room& room, const Job& job, const TaskKey& key) const
{
    const Step& step = stepOf(job, key);
    room.opening_.reset();
    room.used_ = room.used_ + countedDemand(step);
    if (!step.longRunning_)
        room.releases_.push_back({ expectedEnd(state_, job.tasks_[taskNumber(job, key)], step, *room.worker_, now_), countedDemand(step) });
}

bool RackForecast::endsEarlier(const Release& left, const Release& right)
{
    return left.at_ < right.at_;
}

RackForecast::RackForecast(const LeaderState& state, const std::string& service, const std::string& rack, Instant now)
    : state_(state)
    , now_(now)
{
    for (const auto& [incarnation, worker] : state.workers_) {
        if (!hasLabel(worker, rack) || worker.traits_.service_ != service || !acceptsRuns(state, worker, now))
            continue;
        Room room { &worker, {}, {}, 0, {} };
        for (const auto& [run, stopping] : worker.stoppingRuns_)
            room.used_ = room.used_ + stopping.demand_;
        for (const auto& [key, hold] : worker.holds_)
            room.used_ = room.used_ + hold.demand_;
        const Job* job = nullptr;
        room.releases_.reserve(worker.assignedTasks_.size());
        for (const TaskKey& key : worker.assignedTasks_) {
            // The runs are in the order of their jobs.
            if (!job || job->record_.id_ != key.job_)
                job = &state.jobs_.at(key.job_);
            addRun(room, *job, key);
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
    addRun(*room, job, key);
    std::sort(room->releases_.begin(), room->releases_.end(), endsEarlier);
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

std::optional<Instant> RackForecast::opensAt(Room& room, const Step& step, Instant now)
{
    if (!room.opening_ || room.opening_->demand_ != step.demand_ || room.opening_->requiredLabel_ != step.requiredLabel_)
        room.opening_ = { step.demand_, step.requiredLabel_, findOpening(room, step, now) };
    return room.opening_->at_;
}

// Takes the room that opens first.
std::optional<Instant> RackForecast::take(std::vector<Room>& rooms, const Step& step, Duration runTime, Instant now)
{
    Room* first = nullptr;
    std::optional<Instant> earliest;
    for (Room& room : rooms) {
        if (step.maxPerWorker_ > 0 && room.members_ >= step.maxPerWorker_)
            continue;
        std::optional<Instant> at = opensAt(room, step, now);
        if (!at || (earliest && *at >= *earliest))
            continue;
        earliest = at;
        first = &room;
        if (*at == now)
            break;
    }
    if (!first)
        return std::nullopt;
    first->opening_.reset();
    ++first->members_;
    first->used_ = first->used_ + step.demand_;
    Release release { *earliest + runTime, step.demand_ };
    first->releases_.insert(std::upper_bound(first->releases_.begin(), first->releases_.end(), release, endsEarlier), release);
    return earliest;
}

std::optional<Instant> RackForecast::opensAt(const Step& step, uint32_t count)
{
    if (count == 1) {
        std::optional<Instant> earliest;
        for (Room& room : rooms_) {
            std::optional<Instant> at = opensAt(room, step, now_);
            earliest = at && (!earliest || *at < *earliest) ? at : earliest;
        }
        return earliest;
    }
    // Members of a gang run at the same time: room that one of them has is not taken over by another.
    std::vector<Room> rooms = rooms_;
    std::optional<Instant> last;
    for (uint32_t member = 0; member < count; ++member) {
        std::optional<Instant> at = take(rooms, step, horizon, now_);
        if (!at || *at - now_ >= horizon)
            return std::nullopt;
        last = std::max(last.value_or(*at), *at);
    }
    return last;
}

void RackForecast::reserve(const Step& step, uint32_t count, Duration runTime)
{
    for (uint32_t task = 0; task < count; ++task)
        take(rooms_, step, runTime, now_);
    for (Room& room : rooms_)
        room.members_ = 0;
}

} // namespace persimmondoor::workflow
