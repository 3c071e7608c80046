#include "persimmondoor/burn/Levels.h"

#include "persimmondoor/core/Visitor.h"

#include <algorithm>

namespace persimmondoor::burn {

void Counts::add(Minute minute, Count count)
{
    uint64_t halfHour = minute.value() / minutesPerHalfHour;
    minutes_[minute] = minutes_[minute] + count;
    halfHours_[halfHour] = halfHours_[halfHour] + count;
    if (minutes_.size() > minutesKept)
        minutes_.erase(minutes_.begin());
    if (halfHours_.size() > halfHoursKept)
        halfHours_.erase(halfHours_.begin());
}

Count Counts::sumLast(Minute now, uint64_t span) const
{
    Count sum;
    if (span <= minutesKept) {
        Minute first(now.value() >= span ? now.value() - span + 1 : 0);
        for (auto item = minutes_.lower_bound(first); item != minutes_.end() && item->first <= now; ++item)
            sum = sum + item->second;
        return sum;
    }
    uint64_t currentHalfHour = now.value() / minutesPerHalfHour;
    uint64_t spans = span / minutesPerHalfHour;
    for (auto item = halfHours_.lower_bound(currentHalfHour >= spans ? currentHalfHour - spans : 0); item != halfHours_.end() && item->first <= currentHalfHour; ++item)
        sum = sum + item->second;
    return sum;
}

struct LevelsRules {
    static void apply(Levels& state, const TeamDefined& message)
    {
        std::erase_if(state.services_, [&](const auto& item) { return item.second.team_ == message.team_; });
        for (const ServiceObjective& objective : message.objectives_)
            state.services_.insert_or_assign(objective.service_, ServiceLevel { message.team_, objective });
        std::erase_if(state.counts_, [&](const auto& item) { return !state.services_.contains(item.first); });
    }

    static void apply(Levels& state, const Observed& message)
    {
        auto found = state.services_.find(message.service_);
        if (found == state.services_.end())
            return;
        bool good = message.succeeded_ && message.latency_ <= found->second.objective_.latency_;
        state.counts_[message.service_].add(state.latestMinute_, { 1, good ? 1U : 0U });
    }

    static void apply(Levels& state, const Restored& message)
    {
        bool isOld = message.minute_.value() + halfHoursKept * minutesPerHalfHour < state.latestMinute_.value();
        if (state.services_.contains(message.service_) && !isOld && message.minute_ <= state.latestMinute_)
            state.counts_[message.service_].add(message.minute_, message.count_);
    }

    static void advance(Levels& state, Minute now) { state.latestMinute_ = std::max(state.latestMinute_, now); }
};

Levels decide(Levels state, const LevelsMessage& message, Minute now)
{
    LevelsRules::advance(state, now);
    std::visit([&](const auto& alternative) { LevelsRules::apply(state, alternative); }, message);
    return state;
}

} // namespace persimmondoor::burn
