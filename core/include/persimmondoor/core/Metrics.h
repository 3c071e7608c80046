/// Latency histograms by name, for a process's metrics page. Used by one thread only, like the log.
///
/// \code
/// recordLatency("commit", took);
/// std::string page = metricsText();
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"

#include <string>
#include <string_view>

namespace persimmondoor {

/// Adds one observation to the histogram of that name.
void recordLatency(std::string_view name, Duration);

/// All histograms, and the counts of logged events, in the text format of Prometheus.
std::string metricsText();

} // namespace persimmondoor
