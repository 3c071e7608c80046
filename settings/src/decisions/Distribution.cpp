#include "persimmondoor/settings/Distribution.h"

namespace persimmondoor::settings {

struct DistributionRules {
    // A new digest starts the spreading anew.
    static void restart(Distribution& state, Digest current)
    {
        if (state.digest_ == current)
            return;
        state.digest_ = current;
        state.holders_.clear();
    }

    static void remember(Distribution& state, const Heard& message, Instant now)
    {
        auto [found, isNew] = state.processes_.insert_or_assign(message.process_, ProcessState { message.digest_, now });
        if (isNew)
            std::erase_if(state.processes_, [&](const auto& item) { return now - item.second.heardAt_ > processExpiry; });
    }

    static void addHolder(Distribution& state, const Address& address)
    {
        for (const auto& holder : state.holders_) {
            if (holder.address_ == address)
                return;
        }
        if (state.holders_.size() < rememberedHolders)
            state.holders_.push_back({ address, 0 });
    }

    static bool isCurrent(const Distribution& state, const ProcessName& process, Digest current)
    {
        auto found = state.processes_.find(process);
        return state.digest_ == current && found != state.processes_.end() && found->second.digest_ == current;
    }

    static Hint choose(Distribution& state, Instant now)
    {
        while (!state.holders_.empty() && state.holders_.front().uses_ >= fetchesPerHolder)
            state.holders_.pop_front();
        if (!state.holders_.empty()) {
            // The holder goes to the end, so that those used least come first.
            auto holder = state.holders_.front();
            state.holders_.pop_front();
            ++holder.uses_;
            state.holders_.push_back(holder);
            return FetchFrom { holder.address_ };
        }
        if (now - state.directSince_ >= directInterval) {
            state.directSince_ = now;
            state.direct_ = 0;
        }
        if (state.direct_ >= directFetches)
            return AskAgain {};
        ++state.direct_;
        return FetchHere {};
    }
};

DistributionDecision decide(Distribution state, const Heard& message, Digest current, Instant now)
{
    DistributionDecision decision { std::move(state), UpToDate {} };
    Distribution& next = decision.state_;
    bool wasCurrent = DistributionRules::isCurrent(next, message.process_, current);
    DistributionRules::restart(next, current);
    DistributionRules::remember(next, message, now);
    if (message.digest_ != current)
        decision.hint_ = DistributionRules::choose(next, now);
    else if (!wasCurrent)
        DistributionRules::addHolder(next, message.address_);
    return decision;
}

} // namespace persimmondoor::settings
