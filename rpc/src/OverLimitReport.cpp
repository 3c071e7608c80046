#include "OverLimitReport.h"

#include "persimmondoor/core/EventSummary.h"
#include "persimmondoor/core/Log.h"

#include <map>

namespace persimmondoor::rpc {

void reportOverLimit(std::string_view event, std::string reason)
{
    thread_local std::map<std::string, EventSummary> summaries;
    logDebug(event, { { "reason", reason } });
    if (auto events = summaries[std::string(event)].add(now(SteadyClock())))
        logWarning(event, { { "events", std::to_string(*events) }, { "reason", std::move(reason) } });
}

} // namespace persimmondoor::rpc
