#include "persimmondoor/scheduler/Leadership.h"

#include "persimmondoor/core/Hash.h"

#include <algorithm>

namespace persimmondoor::scheduler {

static Duration claimDelayOf(const LeadershipState& state)
{
    uint64_t rank = hashOf(state.self_.text(), state.epoch_.value()) % std::max(state.tuning_.rankCount_, 1U);
    bool isSmall = state.processors_ < state.tuning_.leaderProcessors_;
    return state.tuning_.claimStagger_ * rank + (isSmall ? state.tuning_.smallEntryDelay_ : Duration(0));
}

static Duration leaderTimeout(const LeadershipState& state, Instant now)
{
    return now - state.leaderObservedAt_ < state.tuning_.newLeaderPeriod_ ? state.tuning_.newLeaderTimeout_ : state.tuning_.leaderTimeout_;
}

// Lets the leader time-out expire at once, as no entry leads any more.
static void markLeaderLost(LeadershipState& state, Instant now)
{
    state.lastContactAt_ = std::min(state.lastContactAt_, now - leaderTimeout(state, now));
}

LeadershipStep nextStep(const LeadershipState& state, Instant now)
{
    if (!state.hasReadRow_)
        return CheckRow {};
    Duration delay = claimDelayOf(state);
    bool isSilent = now - state.lastContactAt_ > leaderTimeout(state, now) + delay;
    bool isStalled = now - state.lastWriteAt_ > state.tuning_.stallTimeout_ + delay;
    if (isSilent || isStalled)
        return CheckRow {};
    return KeepFollowing {};
}

// Starts the time-outs of a newly observed leader.
static void observeNewLeader(LeadershipState& state, Instant now)
{
    state.leaderObservedAt_ = now;
    state.lastContactAt_ = now;
    state.lastWriteAt_ = now;
}

LeadershipState observeRow(LeadershipState state, workflow::LeaderEpoch epoch, std::optional<Address> leader, store::RowVersion version, Instant now)
{
    if (state.isStoreUnavailable_)
        state.lastWriteAt_ = std::max(state.lastWriteAt_, now - state.tuning_.stallTimeout_ + state.tuning_.writeGrace_);
    state.isStoreUnavailable_ = false;
    bool isNew = !state.hasReadRow_ || version != state.version_;
    state.hasReadRow_ = true;
    state.version_ = version;
    if (!isNew || epoch < state.epoch_)
        return state;
    bool isOther = epoch > state.epoch_ || leader != state.leader_;
    state.epoch_ = epoch;
    state.leader_ = std::move(leader);
    if (!state.leader_ || state.leader_ == state.self_) {
        // The last leader has resigned, or an earlier incarnation of this process was the leader: no entry leads.
        state.lastContactAt_ = now;
        state.lastWriteAt_ = now;
        markLeaderLost(state, now);
    } else if (isOther) {
        observeNewLeader(state, now);
    }
    return state;
}

LeadershipState observeStoreFailure(LeadershipState state)
{
    state.isStoreUnavailable_ = true;
    return state;
}

static void observeClock(LeadershipState& state, const workflow::LeaderView& view, Instant now)
{
    if (!view.isSelf_ || !view.clock_)
        return;
    LeaderClock clock { view.epoch_, *view.clock_ - now, now };
    const std::optional<LeaderClock>& known = state.leaderClock_;
    bool isSameTerm = known && clock.epoch_ == known->epoch_;
    bool isBetter = isSameTerm && (clock.lead_ >= known->lead_ || now - known->observedAt_ > state.tuning_.clockValidity_);
    if (!known || clock.epoch_ > known->epoch_ || isBetter)
        state.leaderClock_ = clock;
}

LeadershipState observeView(LeadershipState state, const Address& from, const workflow::LeaderView& view, Instant now)
{
    observeClock(state, view, now);
    if (view.epoch_ < state.epoch_ || (view.epoch_ == state.epoch_ && !view.address_)) {
        // The process at the leader's address does not lead: it has been restarted since.
        if (from == state.leader_ && !view.isSelf_)
            markLeaderLost(state, now);
        return state;
    }
    if (view.epoch_ > state.epoch_) {
        state.epoch_ = view.epoch_;
        state.leader_ = view.address_;
        observeNewLeader(state, now);
        return state;
    }
    if (from == state.leader_ && !view.isSelf_) {
        markLeaderLost(state, now);
        return state;
    }
    Instant contactAt = view.isSelf_ ? now : now - view.contactAge_;
    if (contactAt > state.lastRefusalAt_)
        state.lastContactAt_ = std::max(state.lastContactAt_, contactAt);
    state.lastWriteAt_ = std::max(state.lastWriteAt_, now - view.writeAge_);
    return state;
}

std::optional<workflow::CallExpiry> expiryOf(const LeadershipState& state, Instant deadline)
{
    if (!state.leaderClock_ || state.leaderClock_->epoch_ != state.epoch_)
        return std::nullopt;
    return workflow::CallExpiry { state.epoch_, deadline + state.leaderClock_->lead_ };
}

bool hasExpired(const workflow::ClientCall& call, workflow::LeaderEpoch epoch, Instant now)
{
    bool hasEffect = !std::holds_alternative<workflow::GetStatus>(call.verb_);
    return hasEffect && call.expiry_ && (call.expiry_->epoch_ != epoch || call.expiry_->at_ < now);
}

LeadershipState observeRefusal(LeadershipState state, Instant now)
{
    state.lastContactAt_ = std::min(state.lastContactAt_, now - leaderTimeout(state, now) + state.tuning_.refusedLeaderTimeout_);
    state.lastRefusalAt_ = now;
    return state;
}

std::optional<Address> duePing(const LeadershipState& state, Instant now)
{
    bool isPingNeeded = state.leader_ && state.leader_ != state.self_ && state.leader_ != state.pingTarget_;
    return isPingNeeded && now >= state.nextPingAt_ ? state.leader_ : std::nullopt;
}

LeadershipState beginPing(LeadershipState state, const Address& leader, Instant now)
{
    state.pingTarget_ = leader;
    state.nextPingAt_ = now + state.tuning_.pingInterval_;
    return state;
}

LeadershipState endPing(LeadershipState state, const Address& leader)
{
    if (state.pingTarget_ == leader)
        state.pingTarget_.reset();
    return state;
}

workflow::LeaderView viewOf(const LeadershipState& state, Instant now)
{
    return { state.epoch_, state.leader_, false, now - state.lastWriteAt_, now - state.lastContactAt_ };
}

std::vector<Address> chooseRelays(const std::vector<Address>& peers, const Address& leader, size_t turn)
{
    std::vector<Address> relays;
    for (size_t index = 0; index < peers.size() && relays.size() < maximumRelays; ++index) {
        const Address& peer = peers[(turn * maximumRelays + index) % peers.size()];
        if (peer != leader)
            relays.push_back(peer);
    }
    return relays;
}

} // namespace persimmondoor::scheduler
