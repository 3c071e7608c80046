// Cancellations that arrive before the submission of their job.
#include "LeaderRules.h"

#include "persimmondoor/core/Text.h"

namespace persimmondoor::workflow {

static void keepCancellation(LeaderState& state, const JobId& id, EarlyCancellation cancellation)
{
    state.earlyCancellations_[id] = cancellation;
    state.earlyCancellationOrder_.push_back(id);
}

void cancelUnknownJob(const DecisionContext& context, CallToken token, const JobId& id)
{
    LeaderState& state = context.state_;
    AnswerClient acknowledgement { token, NoSuchJob {} };
    if (auto known = state.earlyCancellations_.find(id); known != state.earlyCancellations_.end())
        return known->second.isDurable_ ? context.addAction(std::move(acknowledgement)) : stage(state, id, std::move(acknowledgement));
    if (isStoreUnavailable(state, context.now_))
        return context.addAction(AnswerClient { token, refuseUnstorable(state, context.now_) });
    if (state.earlyCancellations_.size() >= state.tuning_.maximumEarlyCancellations_) {
        Instant nextFreeAt = state.earlyCancellations_.at(state.earlyCancellationOrder_.front()).keptUntil_;
        context.logEvent("job.cancellation_refused", id.value(), concat(state.earlyCancellations_.size(), " cancellations of unknown jobs reach the bound"));
        return context.addAction(AnswerClient { token, NotAccepted { "too many cancellations of unknown jobs", std::max(nextFreeAt - context.now_, state.tuning_.retryAfter_) } });
    }
    context.logEvent("job.cancelled_early", id.value(), "no such job; a submission that arrives later is refused");
    keepCancellation(state, id, { false, context.now_ + state.tuning_.finishedJobRetention_ });
    stage(state, id).writesCancellation_ = true;
    stage(state, id, std::move(acknowledgement));
}

std::optional<NotAccepted> refuseCancelledJob(const DecisionContext& context, const JobId& id)
{
    auto cancellation = context.state_.earlyCancellations_.find(id);
    if (cancellation == context.state_.earlyCancellations_.end())
        return std::nullopt;
    context.logEvent("job.refused", id.value(), "its cancellation has arrived before it");
    return NotAccepted { "the job was cancelled before its submission arrived", std::max(cancellation->second.keptUntil_ - context.now_, context.state_.tuning_.retryAfter_) };
}

void noteDurableCancellation(LeaderState& state, const JobId& id)
{
    if (auto cancellation = state.earlyCancellations_.find(id); cancellation != state.earlyCancellations_.end())
        cancellation->second.isDurable_ = true;
}

void removeExpiredCancellations(const DecisionContext& context)
{
    LeaderState& state = context.state_;
    while (!state.earlyCancellationOrder_.empty()) {
        const JobId id = state.earlyCancellationOrder_.front();
        const EarlyCancellation& cancellation = state.earlyCancellations_.at(id);
        // One that is not stored yet still has to be acknowledged.
        if (!cancellation.isDurable_ || context.now_ < cancellation.keptUntil_)
            return;
        state.earlyCancellations_.erase(id);
        state.earlyCancellationOrder_.pop_front();
        stage(state, id).writesCancellation_ = true;
    }
}

void restoreEarlyCancellations(LeaderState& state, const std::vector<JobId>& ids, Instant now)
{
    for (const JobId& id : ids)
        keepCancellation(state, id, { true, now + state.tuning_.finishedJobRetention_ });
}

} // namespace persimmondoor::workflow
