#include "persimmondoor/membership/View.h"

#include <algorithm>

namespace persimmondoor::membership {

Duration keepAliveInterval(size_t members)
{
    constexpr Duration least = std::chrono::seconds(1);
    Duration needed(static_cast<int64_t>(members * keepAliveBytes * static_cast<uint64_t>(least.count()) / keepAliveBytesPerSecond));
    return std::clamp(needed, least, maximumKeepAliveInterval);
}

// Keepalives that may be lost in a row before a worker counts as silent.
static constexpr int intervalsToExpiry = 3;

static Duration expiryOf(const Member& member)
{
    return std::max(announcementExpiry, intervalsToExpiry * member.interval_);
}

std::vector<Learned> View::changesAfter(uint64_t version) const
{
    std::vector<Learned> changes;
    for (const auto& [worker, member] : members_) {
        if (member.changedAt_ > version)
            changes.push_back({ member.announcement_, member.present_ });
    }
    return changes;
}

bool View::knows(const WorkerName& worker, Incarnation incarnation) const
{
    auto found = members_.find(worker);
    return found != members_.end() && found->second.present_ && found->second.announcement_.incarnation_ == incarnation;
}

struct ViewRules {
    static void apply(ViewDecision& decision, const Announced& message, Instant now)
    {
        takeIn(decision, message.announcement_, !message.announcement_.leaving_, now);
    }

    static void apply(ViewDecision& decision, const KeptAlive& message, Instant now)
    {
        View& view = decision.state_;
        auto found = view.members_.find(message.worker_);
        if (found == view.members_.end() || !found->second.present_ || found->second.announcement_.incarnation_ != message.incarnation_)
            return;
        Announcement& last = found->second.announcement_;
        if (message.sequence_ <= last.sequence_)
            return;
        last.sequence_ = message.sequence_;
        hear(view, found->second, now);
    }

    static void apply(ViewDecision& decision, const Learned& message, Instant now)
    {
        takeIn(decision, message.announcement_, message.present_, now);
    }

    static void apply(ViewDecision& decision, const Swept&, Instant now)
    {
        View& view = decision.state_;
        for (auto& [worker, member] : view.members_) {
            if (member.present_ && now - member.heardAt_ > expiryOf(member))
                setPresent(decision, member, false);
        }
        std::erase_if(view.members_, [now](const auto& item) { return !item.second.present_ && now - item.second.heardAt_ > tombstoneRetention; });
    }

private:
    static void hear(const View& view, Member& member, Instant now)
    {
        member.heardAt_ = now;
        member.interval_ = keepAliveInterval(view.present_);
    }

    static void takeIn(ViewDecision& decision, const Announcement& announcement, bool present, Instant now)
    {
        View& view = decision.state_;
        auto found = view.members_.find(announcement.worker_);
        bool isKnown = found != view.members_.end();
        if (isKnown && !announcement.isNewerThan(found->second.announcement_))
            return;
        // A worker that left does not return in the same life.
        bool hasLeft = isKnown && found->second.announcement_.leaving_ && found->second.announcement_.incarnation_ == announcement.incarnation_;
        if (!isKnown)
            found = view.members_.emplace(announcement.worker_, Member {}).first;
        Member& member = found->second;
        bool offerChanged = !isKnown || !sameOffer(member.announcement_, announcement);
        member.announcement_ = announcement;
        member.announcement_.leaving_ = announcement.leaving_ || hasLeft;
        hear(view, member, now);
        bool isPresent = present && !member.announcement_.leaving_;
        if (isPresent && member.present_ && offerChanged) {
            member.changedAt_ = ++view.version_;
            decision.actions_.emplace_back(WorkerUp { member.announcement_ });
        }
        setPresent(decision, member, isPresent);
        // A tombstone that was not known here is told on.
        if (!isPresent && !isKnown)
            member.changedAt_ = ++view.version_;
    }

    static void setPresent(ViewDecision& decision, Member& member, bool present)
    {
        if (member.present_ == present)
            return;
        View& view = decision.state_;
        member.present_ = present;
        member.changedAt_ = ++view.version_;
        view.present_ += present ? 1 : -1;
        if (present)
            decision.actions_.emplace_back(WorkerUp { member.announcement_ });
        else
            decision.actions_.emplace_back(WorkerGone { member.announcement_.worker_ });
    }

    static bool sameOffer(const Announcement& left, const Announcement& right)
    {
        return left.incarnation_ == right.incarnation_ && left.rpcAddress_ == right.rpcAddress_ && left.endpoints_ == right.endpoints_;
    }
};

ViewDecision decide(View state, const ViewMessage& message, Instant now)
{
    ViewDecision decision { std::move(state), {} };
    std::visit([&](const auto& alternative) { ViewRules::apply(decision, alternative, now); }, message);
    return decision;
}

} // namespace persimmondoor::membership
