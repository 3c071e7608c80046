// Logs what peers do beyond the limits, as summaries, so that no peer fills the log.
#pragma once

#include <string>
#include <string_view>

namespace persimmondoor::rpc {

// Counts an event of this thread, and logs a summary of all such events now and then. Each is logged at level debug.
void reportOverLimit(std::string_view event, std::string reason);

} // namespace persimmondoor::rpc
