// The sections of the report.
#pragma once

#include "persimmondoor/report/Document.h"

namespace persimmondoor::report {

inline constexpr int64_t millisecondsPerSecond = 1000;
inline constexpr double milliCoresPerCore = 1000;

// Seconds from the begin of the log.
double secondsSinceBegin(const Summary&, int64_t timeMs);

// Where the time of completed jobs went: in sum, by queue, size and failure domain, and of single jobs.
Section composeJobs(const Summary&);
Section composeSingleJobs(const Summary&, size_t maximumJobs);

// What happened second by second, as a table and as charts.
Section composeSeconds(const Summary&);
// Long-running tasks that waited, by step.
Section composeWaits(const Summary&);
// Jobs with nothing running, by job and by reason.
Section composeStandstills(const Summary&, size_t maximumJobs);
// Cores that were unused while tasks waited, by reason.
Section composeIdleCores(const Summary&);

} // namespace persimmondoor::report
