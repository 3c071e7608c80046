#include "persimmondoor/routing/Router.h"

#include "Ejection.h"
#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::routing {

std::map<EndpointName, Candidate> Router::candidates() const
{
    std::map<EndpointName, Candidate> result;
    for (const auto& [service, pool] : pools_) {
        for (const Candidate& candidate : pool.candidates_)
            result.emplace(candidate.offer_.endpoint_, candidate);
    }
    return result;
}

struct RouterRules {
    static void apply(RouterDecision& decision, const ServiceDefined& message, Instant)
    {
        poolOf(decision.state_, message.service_).definition_ = message;
    }

    static void apply(RouterDecision& decision, const ServiceRemoved& message, Instant)
    {
        poolOf(decision.state_, message.service_).definition_.reset();
    }

    // The observations of an endpoint are kept while the worker's incarnation is the same.
    static void apply(RouterDecision& decision, const membership::WorkerUp& message, Instant)
    {
        Router& router = decision.state_;
        const membership::Announcement& announcement = message.announcement_;
        std::vector<Candidate> previous = removeWorker(router, announcement.worker_);
        for (const membership::EndpointOffer& offer : announcement.endpoints_) {
            Candidate updated { announcement.worker_, offer, announcement.domain_, announcement.rpcAddress_, announcement.incarnation_, 0, {}, {}, {}, {}, 0, 0, {}, false };
            auto known = std::find_if(previous.begin(), previous.end(), [&](const Candidate& candidate) { return candidate.offer_.endpoint_ == offer.endpoint_; });
            if (known != previous.end() && known->incarnation_ == announcement.incarnation_)
                updated = withOffer(*known, updated);
            std::vector<Candidate>& candidates = poolOf(router, offer.service_).candidates_;
            std::erase_if(candidates, [&](const Candidate& candidate) { return candidate.offer_.endpoint_ == offer.endpoint_; });
            candidates.push_back(std::move(updated));
        }
    }

    static void apply(RouterDecision& decision, const membership::WorkerGone& message, Instant)
    {
        removeWorker(decision.state_, message.worker_);
    }

    static void apply(RouterDecision& decision, const Route& message, Instant now)
    {
        Router& router = decision.state_;
        auto reject = [&](NotRunReason reason, std::string detail) { decision.actions_.emplace_back(Reject { message.id_, reason, std::move(detail) }); };
        auto pool = router.pools_.find(message.service_);
        if (pool == router.pools_.end() || !pool->second.definition_)
            return reject(NotRunReason::NoEndpoint, concat("unknown service ", message.service_.value()));
        if (router.requests_.contains(message.id_))
            return reject(NotRunReason::DuplicateRequest, "a request with this id is already in flight");
        const ServiceDefined& service = *pool->second.definition_;
        Duration timeLeft = message.timeLeft_ == Duration(0) ? service.deadline_ : message.timeLeft_;
        Router::Request request { message.service_, std::max(service.tier_, message.tier_), message.idempotent_, now + timeLeft, 0, false, {}, {}, {}, {} };
        pool->second.budget_ = pool->second.budget_.afterRequest();
        if (timeLeft <= Duration(0))
            return reject(NotRunReason::Deadline, "the deadline has already passed");
        if (pool->second.candidates_.empty())
            return reject(NotRunReason::NoEndpoint, concat("no known endpoint of service ", message.service_.value()));
        if (!send(decision, pool->second, message.id_, request, now))
            return reject(NotRunReason::QueueFull, "every endpoint of the service is at its load limit, ejected or draining");
        router.requests_.emplace(message.id_, std::move(request));
    }

    static void apply(RouterDecision& decision, const Answered& message, Instant now)
    {
        Router& router = decision.state_;
        auto found = router.requests_.find(message.id_);
        if (found == router.requests_.end())
            return;
        Router::Request& request = found->second;
        Router::Pool& pool = poolOf(router, request.service_);
        recordAnswer(pool, request, message, now);
        request.mayHaveRun_ = request.mayHaveRun_ || message.kind_ == AnswerKind::Unknown;
        if (mayRetry(pool, request, message, now) && send(decision, pool, message.id_, request, now)) {
            if (!isExemptFromBudget(message))
                pool.budget_ = pool.budget_.afterRetry();
            return;
        }
        decision.actions_.emplace_back(Deliver { message.id_, request.mayHaveRun_ });
        router.requests_.erase(found);
    }

    static void apply(RouterDecision& decision, const Cancelled& message, Instant)
    {
        Router& router = decision.state_;
        auto found = router.requests_.find(message.id_);
        if (found == router.requests_.end())
            return;
        if (Candidate* candidate = currentCandidate(poolOf(router, found->second.service_), found->second))
            candidate->inFlight_ -= std::min(candidate->inFlight_, 1U);
        router.requests_.erase(found);
    }

private:
    static Router::Pool& poolOf(Router& router, const ServiceName& service)
    {
        return router.pools_.try_emplace(service, Router::Pool { {}, {}, router.options_.chooser_, {} }).first->second;
    }

    static std::vector<Candidate> removeWorker(Router& router, const WorkerName& worker)
    {
        std::vector<Candidate> removed;
        for (auto& [service, pool] : router.pools_) {
            std::erase_if(pool.candidates_, [&](const Candidate& candidate) {
                if (candidate.worker_ != worker)
                    return false;
                removed.push_back(candidate);
                return true;
            });
        }
        return removed;
    }

    static Candidate withOffer(const Candidate& known, const Candidate& announced)
    {
        Candidate next = known;
        next.offer_ = announced.offer_;
        next.domain_ = announced.domain_;
        next.agent_ = announced.agent_;
        return next;
    }

    // Chooses an endpoint. A retry avoids the endpoint of the previous attempt and prefers other failure domains.
    static Candidate* chooseFor(Router& router, Router::Pool& pool, const Router::Request& request, Instant now)
    {
        auto isEligible = [&](const Candidate& candidate) {
            return isInService(candidate, now) && candidate.knownLoad(now) < candidate.loadLimit(request.tier_) && candidate.offer_.endpoint_ != request.endpoint_;
        };
        if (request.attempts_ == 0)
            return choose(pool.chooser_, router.random_, pool.candidates_, isEligible, now);
        auto isEligibleElsewhere = [&](const Candidate& candidate) { return candidate.domain_ != request.domain_ && isEligible(candidate); };
        Candidate* elsewhere = choose(pool.chooser_, router.random_, pool.candidates_, isEligibleElsewhere, now);
        return elsewhere ? elsewhere : choose(pool.chooser_, router.random_, pool.candidates_, isEligible, now);
    }

    static bool send(RouterDecision& decision, Router::Pool& pool, const RequestId& id, Router::Request& request, Instant now)
    {
        Candidate* chosen = chooseFor(decision.state_, pool, request, now);
        if (!chosen)
            return false;
        ++chosen->inFlight_;
        ++request.attempts_;
        request.endpoint_ = chosen->offer_.endpoint_;
        request.domain_ = chosen->domain_;
        request.incarnation_ = chosen->incarnation_;
        request.sentAt_ = now;
        decision.actions_.emplace_back(SendTo { id, chosen->worker_, request.endpoint_, chosen->agent_, request.tier_, request.deadline_ - now });
        return true;
    }

    // Returns the endpoint of the current attempt, or null if the endpoint was removed or its worker has another
    // incarnation.
    static Candidate* currentCandidate(Router::Pool& pool, const Router::Request& request)
    {
        auto found = std::find_if(pool.candidates_.begin(), pool.candidates_.end(), [&](const Candidate& candidate) { return candidate.offer_.endpoint_ == request.endpoint_; });
        return found != pool.candidates_.end() && found->incarnation_ == request.incarnation_ ? &*found : nullptr;
    }

    static void recordAnswer(Router::Pool& pool, const Router::Request& request, const Answered& message, Instant now)
    {
        Candidate* candidate = currentCandidate(pool, request);
        if (!candidate)
            return;
        candidate->inFlight_ -= std::min(candidate->inFlight_, 1U);
        if (message.load_.slots_ > 0) {
            candidate->load_ = message.load_;
            candidate->loadReceivedAt_ = now;
        }
        if (message.kind_ == AnswerKind::Done)
            *candidate = withSuccess(candidate->withLatency(now - request.sentAt_, now));
        if (message.kind_ == AnswerKind::NotRun && message.reason_ == NotRunReason::Draining)
            candidate->isDraining_ = true;
        if (isFailure(pool, request, message, now))
            countFailure(*candidate, pool.candidates_, now);
    }

    // A time-out counts as a failure of the endpoint only if the attempt lasted at least as long as the service's own
    // deadline, so that callers with short deadlines cannot eject endpoints.
    static bool isFailure(const Router::Pool& pool, const Router::Request& request, const Answered& message, Instant now)
    {
        if (message.kind_ == AnswerKind::NotRun)
            return message.reason_ == NotRunReason::Unreachable;
        if (message.kind_ != AnswerKind::Unknown)
            return false;
        bool timedOut = now >= request.deadline_;
        return !timedOut || !pool.definition_ || now - request.sentAt_ >= pool.definition_->deadline_;
    }

    // A request refused by a draining agent is retried without cost to the budget, as the refusal is no sign of overload.
    static bool isExemptFromBudget(const Answered& message)
    {
        return message.kind_ == AnswerKind::NotRun && message.reason_ == NotRunReason::Draining;
    }

    static bool mayRetry(const Router::Pool& pool, const Router::Request& request, const Answered& message, Instant now)
    {
        if (message.kind_ == AnswerKind::Done || request.attempts_ >= maximumAttempts || now >= request.deadline_)
            return false;
        if (message.kind_ == AnswerKind::NotRun && message.reason_ == NotRunReason::BadRequest)
            return false;
        if (message.kind_ == AnswerKind::Unknown && !request.idempotent_)
            return false;
        return isExemptFromBudget(message) || pool.budget_.allowsRetry();
    }
};

RouterDecision decide(Router state, const RouterMessage& message, Instant now)
{
    RouterDecision decision { std::move(state), {} };
    std::visit([&](const auto& alternative) { RouterRules::apply(decision, alternative, now); }, message);
    return decision;
}

} // namespace persimmondoor::routing
