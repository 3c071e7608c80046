// The rows of the queues in the store, which a new leader reads.
#pragma once

#include "LeaseRows.h"
#include "Operators.h"
#include "persimmondoor/platform/RowStore.h"
#include "persimmondoor/workflow/Leader.h"

#include <map>
#include <set>
#include <vector>

namespace persimmondoor::scheduler {

inline constexpr Duration queueReadTimeout = std::chrono::milliseconds(1500);
inline constexpr Duration loadRetryInterval = std::chrono::milliseconds(200);

struct LoadedRows {
    std::vector<workflow::StoredJob> jobs_;
    // Jobs that have made a leader hang or fail.
    std::set<JobId> hungJobs_;
    // Jobs that cannot be led, as they are among those or a row of theirs cannot be read.
    std::map<JobId, workflow::UnreadableJob> unreadableJobs_;
    std::vector<JobId> earlyCancellations_;
    store::RowVersion chainVersion_;
    // Values of the rows that state the bounds on task leases; empty if a row is absent.
    std::string chain_;
    std::string silentWorkers_;
    StoreClock clock_;
    OperatorView operators_;
    workflow::Interference interference_;
};

// Adds the jobs of the rows to `loaded`, whose hung jobs are left out. A job with an unreadable row costs only that job.
void joinRows(const std::vector<store::Row>& records, const std::vector<store::Row>& progress, LoadedRows& loaded);

// Returns the rows, or an error if the store does not answer a read.
boost::asio::awaitable<absl::StatusOr<LoadedRows>> readQueueRows(platform::RowStore);

} // namespace persimmondoor::scheduler
