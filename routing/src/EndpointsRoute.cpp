#include "persimmondoor/routing/EndpointsRoute.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace persimmondoor::routing {

namespace asio = boost::asio;
namespace json = boost::json;

static json::object describe(const Candidate& candidate)
{
    return {
        { "endpoint", candidate.offer_.endpoint_.value() },
        { "worker", candidate.worker_.value() },
        { "domain", candidate.domain_.value() },
        { "service", candidate.offer_.service_.value() },
        { "in_flight", candidate.inFlight_ },
        { "running", candidate.load_.running_ },
        { "queued", candidate.load_.queued_ },
        { "slots", candidate.offer_.slots_ },
        { "latency_us", candidate.latency_.count() },
        { "ejected", candidate.ejectedUntil_.has_value() },
        { "draining", candidate.isDraining_ },
    };
}

static asio::awaitable<http::Response> listEndpoints(RouterActor router, http::Request request)
{
    std::optional<std::string> service = http::queryParameter(request, "service");
    std::map<EndpointName, Candidate> candidates = co_await router.endpoints();
    json::array list;
    for (const auto& [name, candidate] : candidates) {
        if (!service || candidate.offer_.service_.value() == *service)
            list.push_back(describe(candidate));
    }
    json::object answer;
    answer["endpoints"] = std::move(list);
    co_return http::jsonResponse(200, json::serialize(answer) + "\n");
}

void offerEndpoints(http::Routes& routes, RouterActor router)
{
    routes.add("GET", "/v1/endpoints", [router = std::move(router)](http::Request request) { return listEndpoints(router, std::move(request)); });
}

} // namespace persimmondoor::routing
