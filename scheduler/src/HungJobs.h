// Jobs whose decisions have made a leader hang or fail. They are left out of the queues by each later leader, until an operator erases
// their rows.
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Ids.h"
#include "persimmondoor/store/Table.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace persimmondoor::scheduler {

inline constexpr std::string_view hungTable = "hung";

// The row that leaves the job out. Writing it depends on no other row, as the writer may have been replaced as the leader.
store::Transaction leaveOutTransaction(const JobId&, std::string_view reason, std::string_view entry);

// The jobs that the rows of the table name.
std::set<JobId> hungJobsOf(const std::vector<store::Row>&);

// Writes the job's row, if the job is known, and ends the process with `actorFailedExitCode`, within `isolationTimeout` also if the
// store does not answer. May be called on any thread: uses connections and an event loop of its own.
[[noreturn]] void isolateJobAndExit(const Address& store, const std::optional<JobId>&, const std::string& reason, const std::string& entry);

} // namespace persimmondoor::scheduler
