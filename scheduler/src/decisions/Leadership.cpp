#include "persimmondoor/scheduler/Leadership.h"

#include "persimmondoor/core/Hash.h"

#include <algorithm>

namespace persimmondoor::scheduler {

static Duration waitForRank(const LeadershipState& state)
{
    uint64_t rank = hashOf(state.self_.text(), state.epoch_.value()) % std::max(state.tuning_.ranks_, 1U);
    bool isSmall = state.processors_ < state.tuning_.ownersProcessors_;
    return state.tuning_.stagger_ * rank + (isSmall ? state.tuning_.smallEntryDelay_ : Duration(0));
}

static Duration silenceOf(const LeadershipState& state, Instant now)
{
    return now - state.learntAt_ < state.tuning_.settling_ ? state.tuning_.settlingSilence_ : state.tuning_.silence_;
}

// Nobody leads any more: the time for which the leader may be silent is over.
static void loseLeader(LeadershipState& state, Instant now)
{
    state.contactAt_ = std::min(state.contactAt_, now - silenceOf(state, now));
}

LeadershipStep nextStep(const LeadershipState& state, Instant now)
{
    if (!state.rowKnown_)
        return CheckRow {};
    Duration wait = waitForRank(state);
    bool isSilent = now - state.contactAt_ > silenceOf(state, now) + wait;
    bool isStalled = now - state.writeAt_ > state.tuning_.stall_ + wait;
    if (isSilent || isStalled)
        return CheckRow {};
    return KeepFollowing {};
}

// A leader that has just been learnt gets its time to load and to answer.
static void meetLeader(LeadershipState& state, Instant now)
{
    state.learntAt_ = now;
    state.contactAt_ = now;
    state.writeAt_ = now;
}

LeadershipState learnRow(LeadershipState state, workflow::LeaderEpoch epoch, std::optional<Address> leader, store::RowVersion version, Instant now)
{
    if (state.isStoreAway_)
        state.writeAt_ = std::max(state.writeAt_, now - state.tuning_.stall_ + state.tuning_.writeGrace_);
    state.isStoreAway_ = false;
    bool isNew = !state.rowKnown_ || version != state.version_;
    state.rowKnown_ = true;
    state.version_ = version;
    if (!isNew || epoch < state.epoch_)
        return state;
    bool isOther = epoch > state.epoch_ || leader != state.leader_;
    state.epoch_ = epoch;
    state.leader_ = std::move(leader);
    if (!state.leader_ || state.leader_ == state.self_) {
        // The last leader has resigned, or this process was the leader in an earlier life: nobody leads.
        state.contactAt_ = now;
        state.writeAt_ = now;
        loseLeader(state, now);
    } else if (isOther) {
        meetLeader(state, now);
    }
    return state;
}

LeadershipState learnStoreFailure(LeadershipState state)
{
    state.isStoreAway_ = true;
    return state;
}

LeadershipState learnView(LeadershipState state, const Address& from, const workflow::LeaderView& view, Instant now)
{
    if (view.epoch_ < state.epoch_ || (view.epoch_ == state.epoch_ && !view.address_)) {
        // The process at the leader's address does not lead: it has been restarted.
        if (from == state.leader_ && !view.isSelf_)
            loseLeader(state, now);
        return state;
    }
    if (view.epoch_ > state.epoch_) {
        state.epoch_ = view.epoch_;
        state.leader_ = view.address_;
        meetLeader(state, now);
        return state;
    }
    if (from == state.leader_ && !view.isSelf_) {
        loseLeader(state, now);
        return state;
    }
    Instant contactAt = view.isSelf_ ? now : now - view.contactAge_;
    if (contactAt > state.refusedAt_)
        state.contactAt_ = std::max(state.contactAt_, contactAt);
    state.writeAt_ = std::max(state.writeAt_, now - view.writeAge_);
    return state;
}

LeadershipState learnRefusal(LeadershipState state, Instant now)
{
    state.contactAt_ = std::min(state.contactAt_, now - silenceOf(state, now) + state.tuning_.refusedSilence_);
    state.refusedAt_ = now;
    return state;
}

std::optional<Address> duePing(const LeadershipState& state, Instant now)
{
    bool isWanted = state.leader_ && state.leader_ != state.self_ && state.leader_ != state.pinged_;
    return isWanted && now >= state.pingAt_ ? state.leader_ : std::nullopt;
}

LeadershipState beginPing(LeadershipState state, const Address& leader, Instant now)
{
    state.pinged_ = leader;
    state.pingAt_ = now + state.tuning_.pingInterval_;
    return state;
}

LeadershipState endPing(LeadershipState state, const Address& leader)
{
    if (state.pinged_ == leader)
        state.pinged_.reset();
    return state;
}

workflow::LeaderView viewOf(const LeadershipState& state, Instant now)
{
    return { state.epoch_, state.leader_, false, now - state.writeAt_, now - state.contactAt_ };
}

} // namespace persimmondoor::scheduler
