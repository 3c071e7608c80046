/// Calls from the owner of a partition to the agent of a worker.
///
/// After Aborted nothing was sent to the agent. The outcome is unknown after Unavailable, DeadlineExceeded and Internal, and
/// after InvalidArgument, which means that the answer was malformed.
///
/// \code
/// absl::StatusOr<HostOffer> offer = co_await probeHost(link, { team, wanted });
/// \endcode
#pragma once

#include "persimmondoor/hosting/Messages.h"
#include "persimmondoor/rpc/Link.h"

namespace persimmondoor::hosting {

/// Time-out of a call to an agent.
inline constexpr Duration hostTimeout = std::chrono::seconds(1);

boost::asio::awaitable<absl::StatusOr<HostOffer>> probeHost(rpc::Link, ProbeOrder);
boost::asio::awaitable<absl::StatusOr<StartOutcome>> startTask(rpc::Link, StartOrder);
boost::asio::awaitable<absl::StatusOr<StopOutcome>> stopTask(rpc::Link, StopOrder);

/// \return the answer; FailedPrecondition if the agent has seen a later epoch of the partition; NotFound while the
/// agent has not received its worker's first report.
boost::asio::awaitable<absl::StatusOr<RenewalAnswer>> renewTasks(rpc::Link, Renewal);

} // namespace persimmondoor::hosting
