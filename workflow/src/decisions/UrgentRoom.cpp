#include "persimmondoor/workflow/UrgentRoom.h"

#include "UrgentDemand.h"
#include "persimmondoor/core/Text.h"

#include <set>

namespace persimmondoor::workflow {

bool UrgentDemand::isShort() const
{
    return !demand_.fitsIn(free_ + expected_);
}

Resources UrgentDemand::shortfall() const
{
    return onTimeDemand_ - free_ - expected_;
}

const Rush* UrgentRoom::rushOf(const std::string& service) const
{
    auto known = services_.find(service);
    return known == services_.end() ? nullptr : std::get_if<Rush>(&known->second);
}

namespace {

    struct RoomVisitor {
        const UrgentDemand& demand_;
        const Tuning& tuning_;
        Instant now_;

        ServiceRoom operator()(const Calm&) const { return demand_.isShort() ? ServiceRoom(Short { now_ }) : Calm {}; }
        ServiceRoom operator()(const Short& room) const
        {
            if (!demand_.isShort())
                return Calm {};
            return now_ - room.since_ < tuning_.rushAfter_ ? ServiceRoom(room) : follow(Rush { now_, now_, demand_.priority_, demand_.queue_, {} });
        }
        ServiceRoom operator()(const Rush& room) const
        {
            if (now_ - room.since_ >= tuning_.maximumRush_)
                return RushPause { now_ + tuning_.rushPause_ };
            return now_ - room.lastShortAt_ < tuning_.rushOverAfter_ || demand_.isShort() ? ServiceRoom(follow(room)) : Calm {};
        }
        ServiceRoom operator()(const RushPause& room) const { return now_ < room.until_ ? ServiceRoom(room) : Calm {}; }

    private:
        // The rush with the present demand. Between two shortages it is still the work of the last one that comes first.
        Rush follow(Rush rush) const
        {
            rush.shares_ = demand_.shares_.size() > 1 ? demand_.shares_ : std::map<std::string, int64_t>();
            if (!demand_.isShort())
                return rush;
            rush.lastShortAt_ = now_;
            rush.priority_ = demand_.priority_;
            rush.queue_ = demand_.queue_;
            return rush;
        }
    };

} // namespace

ServiceRoom nextRoom(const ServiceRoom& room, const UrgentDemand& demand, const Tuning& tuning, Instant now)
{
    return std::visit(RoomVisitor { demand, tuning, now }, room);
}

static std::string describe(const Resources& resources)
{
    return concat(resources.milliCores(), " thousandths of a core, ", resources.memoryBytes(), " bytes");
}

static void logEdge(const DecisionContext& context, const std::string& service, const ServiceRoom& before, const ServiceRoom& after, const UrgentDemand& demand)
{
    const Rush* earlier = std::get_if<Rush>(&before);
    const Rush* later = std::get_if<Rush>(&after);
    if (bool(earlier) == bool(later))
        return;
    const Rush& rush = later ? *later : *earlier;
    std::string lasted = later ? "" : concat(milliseconds(context.now_ - rush.since_), " ms; ");
    context.logEvent(later ? "rush.began" : "rush.ended", service, concat(lasted, "queue ", rush.queue_, ", priority ", rush.priority_, "; waiting ", demand.tasks_, " tasks, ", describe(demand.demand_), ", of them on time ", describe(demand.onTimeDemand_), "; free ", describe(demand.free_), "; expected ", describe(demand.expected_), "; long-running tasks of this priority or a lower one come ", later ? "after it" : "in their turn again"));
}

static void forgetOldStops(LeaderState& state, Instant now)
{
    std::erase_if(state.urgentRoom_.stoppedAt_, [&](const auto& entry) {
        const Task* task = findTask(state, entry.first);
        bool waits = task && task->progress_.phase_ == TaskPhase::Waiting && state.openJobs_.count(entry.first.job_) > 0;
        return !waits && now - entry.second >= state.tuning_.minimumTimeBetweenStops_;
    });
}

void updateUrgentRoom(const DecisionContext& context)
{
    LeaderState& state = context.state_;
    forgetOldStops(state, context.now_);
    std::map<std::string, WaitingWork> waiting = surveyUrgentWork(state, context.now_);
    std::set<std::string> services;
    for (const auto& [service, room] : state.urgentRoom_.services_)
        services.insert(service);
    for (const auto& [service, work] : waiting)
        services.insert(service);
    for (const std::string& service : services) {
        auto work = waiting.find(service);
        UrgentDemand demand = work == waiting.end() ? UrgentDemand {} : work->second.demand_;
        ServiceRoom& room = state.urgentRoom_.services_[service];
        ServiceRoom next = nextRoom(room, demand, state.tuning_, context.now_);
        logEdge(context, service, room, next, demand);
        room = next;
        if (const auto* rush = std::get_if<Rush>(&room); rush && work != waiting.end() && work->second.isExampleOnTime_)
            makeUrgentRoom(context, service, *rush, demand, work->second.example_);
        if (std::holds_alternative<Calm>(room)) {
            state.urgentRoom_.services_.erase(service);
            state.urgentRoom_.nextReportAt_.erase(service);
        }
    }
}

} // namespace persimmondoor::workflow
