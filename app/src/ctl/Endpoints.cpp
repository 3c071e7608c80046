#include "Ctl.h"

namespace persimmondoor::app::ctl {

namespace asio = boost::asio;

static asio::awaitable<int> run(Invocation call)
{
    return listItems(std::move(call), "/v1/endpoints", "endpoints",
        { { "ENDPOINT", "endpoint" }, { "SERVICE", "service" }, { "WORKER", "worker" }, { "DOMAIN", "domain" }, { "IN FLIGHT", "in_flight" }, { "RUNNING", "running" },
            { "QUEUED", "queued" }, { "SLOTS", "slots" }, { "LATENCY_US", "latency_us" }, { "EJECTED", "ejected" }, { "DRAINING", "draining" } });
}

Verb makeEndpointsVerb()
{
    return { "endpoints", "", "lists the endpoints that serve requests", {}, {}, run };
}

} // namespace persimmondoor::app::ctl
