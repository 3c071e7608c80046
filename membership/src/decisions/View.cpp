#include "persimmondoor/membership/View.h"

#include "persimmondoor/core/Visitor.h"

namespace persimmondoor::membership {

struct ViewRules {
    static void apply(ViewDecision& decision, const Announced& message, Instant now)
    {
        const Announcement& announcement = message.announcement_;
        std::map<WorkerName, Member>& members = decision.state_.members_;
        auto found = members.find(announcement.worker_);
        bool wasPresent = found != members.end() && found->second.present_;
        if (found != members.end() && !announcement.isNewerThan(found->second.announcement_))
            return;
        bool returnsFromLeaving = found != members.end() && found->second.announcement_.leaving_
            && found->second.announcement_.incarnation_ == announcement.incarnation_;
        bool present = !announcement.leaving_ && !returnsFromLeaving;
        bool changed = !wasPresent || !sameOffer(found->second.announcement_, announcement);
        members.insert_or_assign(announcement.worker_, Member { keepLeaving(announcement, returnsFromLeaving), now, present });
        if (present && changed)
            decision.actions_.emplace_back(WorkerUp { announcement });
        if (!present && wasPresent)
            decision.actions_.emplace_back(WorkerGone { announcement.worker_ });
    }

    static void apply(ViewDecision& decision, const Swept&, Instant now)
    {
        std::map<WorkerName, Member>& members = decision.state_.members_;
        for (auto& [worker, member] : members) {
            if (member.present_ && now - member.heardAt_ > announcementExpiry) {
                member.present_ = false;
                decision.actions_.emplace_back(WorkerGone { worker });
            }
        }
        std::erase_if(members, [now](const auto& item) { return !item.second.present_ && now - item.second.heardAt_ > tombstoneRetention; });
    }

private:
    static bool sameOffer(const Announcement& left, const Announcement& right)
    {
        return left.incarnation_ == right.incarnation_ && left.rpcAddress_ == right.rpcAddress_ && left.endpoints_ == right.endpoints_;
    }

    static Announcement keepLeaving(Announcement announcement, bool leaving)
    {
        announcement.leaving_ = announcement.leaving_ || leaving;
        return announcement;
    }
};

ViewDecision decide(View state, const ViewMessage& message, Instant now)
{
    ViewDecision decision { std::move(state), {} };
    std::visit([&](const auto& alternative) { ViewRules::apply(decision, alternative, now); }, message);
    return decision;
}

} // namespace persimmondoor::membership
