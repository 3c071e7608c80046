#include "persimmondoor/routing/Router.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::routing {

struct RouterRules {
    static void apply(RouterDecision& decision, const ServiceDefined& message, Instant)
    {
        decision.state_.services_.insert_or_assign(message.service_, message);
    }

    static void apply(RouterDecision& decision, const membership::WorkerUp& message, Instant)
    {
        Router& router = decision.state_;
        const membership::Announcement& announcement = message.announcement_;
        removeWorker(router, announcement.worker_);
        for (const membership::EndpointOffer& offer : announcement.endpoints_) {
            router.candidates_.insert_or_assign(offer.endpoint_, Candidate { announcement.worker_, offer, announcement.domain_, announcement.rpcAddress_, 0, { 0, 0, offer.slots_ } });
            router.endpointsOfService_[offer.service_].push_back(offer.endpoint_);
        }
    }

    static void apply(RouterDecision& decision, const membership::WorkerGone& message, Instant)
    {
        removeWorker(decision.state_, message.worker_);
    }

    static void apply(RouterDecision& decision, const Route& message, Instant)
    {
        Router& router = decision.state_;
        auto service = router.services_.find(message.service_);
        auto reject = [&](std::string detail) { decision.actions_.emplace_back(Reject { message.id_, NotRunReason::NoEndpoint, std::move(detail) }); };
        if (service == router.services_.end())
            return reject(concat("no service ", message.service_.value()));
        auto endpoints = router.endpointsOfService_.find(message.service_);
        if (endpoints == router.endpointsOfService_.end() || endpoints->second.empty())
            return reject(concat("no endpoint of service ", message.service_.value()));
        Candidate& chosen = choose(router, endpoints->second);
        ++chosen.inFlight_;
        decision.actions_.emplace_back(SendTo { message.id_, chosen.worker_, chosen.offer_.endpoint_, chosen.agent_, service->second.tier_, service->second.deadline_ });
    }

    static void apply(RouterDecision& decision, const Answered& message, Instant)
    {
        auto found = decision.state_.candidates_.find(message.endpoint_);
        if (found == decision.state_.candidates_.end())
            return;
        Candidate& candidate = found->second;
        candidate.inFlight_ -= std::min(candidate.inFlight_, 1U);
        candidate.load_ = message.load_;
    }

private:
    static void removeWorker(Router& router, const WorkerName& worker)
    {
        std::erase_if(router.candidates_, [&](const auto& item) {
            if (item.second.worker_ != worker)
                return false;
            std::erase(router.endpointsOfService_[item.second.offer_.service_], item.first);
            return true;
        });
    }

    // The power of two choices: M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001.
    static Candidate& choose(Router& router, const std::vector<EndpointName>& endpoints)
    {
        std::uniform_int_distribution<size_t> any(0, endpoints.size() - 1);
        Candidate& first = router.candidates_.at(endpoints[any(router.random_)]);
        Candidate& second = router.candidates_.at(endpoints[any(router.random_)]);
        return cost(second) < cost(first) ? second : first;
    }

    // Requests at the endpoint for each of its slots: those of this entry, or those of all entries if more.
    static double cost(const Candidate& candidate)
    {
        uint32_t known = std::max(candidate.inFlight_, candidate.load_.running_ + candidate.load_.queued_);
        return static_cast<double>(known) / std::max(1U, candidate.offer_.slots_);
    }
};

RouterDecision decide(Router state, const RouterMessage& message, Instant now)
{
    RouterDecision decision { std::move(state), {} };
    std::visit([&](const auto& alternative) { RouterRules::apply(decision, alternative, now); }, message);
    return decision;
}

} // namespace persimmondoor::routing
