#include "persimmondoor/membership/View.h"

#include <algorithm>

namespace persimmondoor::membership {

Duration keepAliveInterval(size_t members)
{
    constexpr Duration minimumInterval = std::chrono::seconds(1);
    Duration intervalWithinBudget(static_cast<int64_t>(members * keepAliveBytes * static_cast<uint64_t>(minimumInterval.count()) / keepAliveBytesPerSecond));
    return std::clamp(intervalWithinBudget, minimumInterval, maximumKeepAliveInterval);
}

// A worker expires after this many of its keepalive intervals without a message.
static constexpr int intervalsToExpiry = 3;

static Duration expiryOf(const Member& member)
{
    return std::max(announcementExpiry, intervalsToExpiry * member.keepAliveInterval_);
}

std::vector<PeerMember> View::changesAfter(uint64_t version) const
{
    std::vector<PeerMember> changes;
    for (const auto& [worker, member] : members_) {
        if (member.changedInVersion_ > version)
            changes.push_back({ member.announcement_, member.isPresent_ });
    }
    return changes;
}

bool View::isKnown(const WorkerName& worker, Incarnation incarnation) const
{
    auto found = members_.find(worker);
    return found != members_.end() && found->second.isPresent_ && found->second.announcement_.incarnation_ == incarnation;
}

struct ViewRules {
    static void apply(ViewDecision& decision, const Announced& message, Instant now)
    {
        applyAnnouncement(decision, message.announcement_, !message.announcement_.isLeaving_, now);
    }

    static void apply(ViewDecision& decision, const KeepAlive& message, Instant now)
    {
        View& view = decision.state_;
        auto found = view.members_.find(message.worker_);
        if (found == view.members_.end() || !found->second.isPresent_ || found->second.announcement_.incarnation_ != message.incarnation_)
            return;
        Announcement& last = found->second.announcement_;
        if (message.sequence_ <= last.sequence_)
            return;
        last.sequence_ = message.sequence_;
        recordMessage(view, found->second, now);
    }

    static void apply(ViewDecision& decision, const PeerMember& message, Instant now)
    {
        applyAnnouncement(decision, message.announcement_, message.isPresent_, now);
    }

    static void apply(ViewDecision& decision, const ExpiryCheckDue&, Instant now)
    {
        View& view = decision.state_;
        for (auto& [worker, member] : view.members_) {
            if (member.isPresent_ && now - member.lastMessageAt_ > expiryOf(member))
                setPresent(decision, member, false);
        }
        std::erase_if(view.members_, [now](const auto& item) { return !item.second.isPresent_ && now - item.second.lastMessageAt_ > tombstoneRetention; });
    }

private:
    static void recordMessage(const View& view, Member& member, Instant now)
    {
        member.lastMessageAt_ = now;
        member.keepAliveInterval_ = keepAliveInterval(view.presentCount_);
    }

    static void applyAnnouncement(ViewDecision& decision, const Announcement& announcement, bool present, Instant now)
    {
        View& view = decision.state_;
        auto found = view.members_.find(announcement.worker_);
        bool isKnown = found != view.members_.end();
        if (isKnown && !announcement.isNewerThan(found->second.announcement_))
            return;
        // A worker that left does not rejoin in the same incarnation.
        bool hasLeft = isKnown && found->second.announcement_.isLeaving_ && found->second.announcement_.incarnation_ == announcement.incarnation_;
        if (!isKnown)
            found = view.members_.emplace(announcement.worker_, Member {}).first;
        Member& member = found->second;
        bool offerChanged = !isKnown || !hasSameOffer(member.announcement_, announcement);
        member.announcement_ = announcement;
        member.announcement_.isLeaving_ = announcement.isLeaving_ || hasLeft;
        recordMessage(view, member, now);
        bool isPresent = present && !member.announcement_.isLeaving_;
        if (isPresent && member.isPresent_ && offerChanged) {
            member.changedInVersion_ = ++view.version_;
            decision.actions_.emplace_back(WorkerUp { member.announcement_ });
        }
        setPresent(decision, member, isPresent);
        // A tombstone that is new to this view counts as a change, so that other entries receive it too.
        if (!isPresent && !isKnown)
            member.changedInVersion_ = ++view.version_;
    }

    static void setPresent(ViewDecision& decision, Member& member, bool present)
    {
        if (member.isPresent_ == present)
            return;
        View& view = decision.state_;
        member.isPresent_ = present;
        member.changedInVersion_ = ++view.version_;
        view.presentCount_ += present ? 1 : -1;
        if (present)
            decision.actions_.emplace_back(WorkerUp { member.announcement_ });
        else
            decision.actions_.emplace_back(WorkerGone { member.announcement_.worker_ });
    }

    static bool hasSameOffer(const Announcement& left, const Announcement& right)
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
