#include "Ctl.h"

namespace persimmondoor::app::ctl {

namespace asio = boost::asio;

static asio::awaitable<int> run(Invocation call)
{
    return listItems(std::move(call), "/v1/endpoints", "endpoints",
        { { "ENDPOINT", "endpoint" }, { "SERVICE", "service" }, { "TEAM", "team" }, { "WORKER", "worker" }, { "DOMAIN", "domain" }, { "SLOTS", "slots" },
            { "CONNECTIONS", "connections" } });
}

Verb makeEndpointsVerb()
{
    return { "endpoints", "", "lists the endpoints that take requests", {}, {}, run };
}

} // namespace persimmondoor::app::ctl
