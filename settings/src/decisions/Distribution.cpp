#include "persimmondoor/settings/Distribution.h"

namespace persimmondoor::settings {

struct DistributionRules {
    // Clears the holders when the digest of the entry's tree has changed, as their trees have an old digest.
    static void resetForDigest(Distribution& state, Digest current)
    {
        if (state.digest_ == current)
            return;
        state.digest_ = current;
        state.holders_.clear();
    }

    static void recordProcess(Distribution& state, const DigestAnnouncement& message, Instant now)
    {
        auto [found, isNew] = state.processes_.insert_or_assign(message.process_, ProcessState { message.digest_, now });
        if (isNew)
            std::erase_if(state.processes_, [&](const auto& item) { return now - item.second.announcedAt_ > processExpiry; });
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

    static Hint chooseSource(Distribution& state, Instant now)
    {
        while (!state.holders_.empty() && state.holders_.front().fetches_ >= fetchesPerHolder)
            state.holders_.pop_front();
        if (!state.holders_.empty()) {
            // Round robin: the holder moves to the back, so that the least used one is at the front.
            auto holder = state.holders_.front();
            state.holders_.pop_front();
            ++holder.fetches_;
            state.holders_.push_back(holder);
            return FetchFrom { holder.address_ };
        }
        if (now - state.directIntervalStart_ >= directInterval) {
            state.directIntervalStart_ = now;
            state.directFetchCount_ = 0;
        }
        if (state.directFetchCount_ >= directFetchesPerInterval)
            return AskAgain {};
        ++state.directFetchCount_;
        return FetchHere {};
    }
};

DistributionDecision decide(Distribution state, const DigestAnnouncement& message, Digest current, Instant now)
{
    DistributionDecision decision { std::move(state), UpToDate {} };
    Distribution& next = decision.state_;
    bool wasCurrent = DistributionRules::isCurrent(next, message.process_, current);
    DistributionRules::resetForDigest(next, current);
    DistributionRules::recordProcess(next, message, now);
    if (message.digest_ != current)
        decision.hint_ = DistributionRules::chooseSource(next, now);
    else if (!wasCurrent)
        DistributionRules::addHolder(next, message.address_);
    return decision;
}

} // namespace persimmondoor::settings
