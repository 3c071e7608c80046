#include "Ctl.h"

namespace persimmondoor::app::ctl {

namespace asio = boost::asio;

static asio::awaitable<int> run(Invocation call)
{
    return listItems(std::move(call), "/v1/quota", "quotas",
        { { "TEAM", "team" }, { "CORES", "cores" }, { "MEMORY_GB", "memory_gb" }, { "ACCELERATORS", "accelerators" } });
}

Verb makeQuotaVerb()
{
    return { "quota", "", "lists what each team's batch tasks may use at once", {}, {}, run };
}

} // namespace persimmondoor::app::ctl
