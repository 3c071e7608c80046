#include "Ctl.h"

namespace persimmondoor::app::ctl {

namespace asio = boost::asio;

static asio::awaitable<int> run(Invocation call)
{
    return listItems(std::move(call), "/v1/teams", "teams",
        { { "TEAM", "team" }, { "REVISION", "revision" }, { "SERVICES", "services" }, { "PAYING", "paying_services" }, { "TRIAL", "trial_services" } });
}

Verb makeTeamsVerb()
{
    return { "teams", "", "lists the teams with the revision of their settings", {}, {}, run };
}

} // namespace persimmondoor::app::ctl
