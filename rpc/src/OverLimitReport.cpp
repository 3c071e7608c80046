#include "OverLimitReport.h"

#include "persimmondoor/core/EventSummary.h"
#include "persimmondoor/core/Log.h"

namespace persimmondoor::rpc {

void reportOverLimit(std::string_view event, std::string reason)
{
    thread_local EventSummary summary;
    logDebug(event, { { "reason", reason } });
    // Under a name of its own, as each event is counted by its name.
    if (auto events = summary.add(now(SteadyClock())))
        logWarning("connections.over_limit", { { "events", std::to_string(*events) }, { "last", std::string(event) }, { "reason", std::move(reason) } });
}

} // namespace persimmondoor::rpc
