#include "Ctl.h"

namespace persimmondoor::app::ctl {

namespace asio = boost::asio;

static asio::awaitable<int> run(Invocation call)
{
    return listItems(std::move(call), "/v1/workers", "workers",
        { { "WORKER", "worker" }, { "DOMAIN", "domain" }, { "RACK", "rack" }, { "ENDPOINTS", "endpoints" }, { "AGENT", "agent" } });
}

Verb makeWorkersVerb()
{
    return { "workers", "", "lists the workers that announce themselves", {}, {}, run };
}

} // namespace persimmondoor::app::ctl
