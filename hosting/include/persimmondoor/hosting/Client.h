/// Calls of a partition owner to the agent of a worker.
///
/// Aborted means that nothing reached the agent; Unavailable, DeadlineExceeded and Internal leave open whether it did.
///
/// \code
/// absl::StatusOr<HostOffer> offer = co_await probeHost(link, { team, wanted });
/// \endcode
#pragma once

#include "persimmondoor/hosting/Messages.h"
#include "persimmondoor/rpc/Link.h"

namespace persimmondoor::hosting {

/// Longest wait for an agent's answer.
inline constexpr Duration hostTimeout = std::chrono::seconds(1);

boost::asio::awaitable<absl::StatusOr<HostOffer>> probeHost(rpc::Link, ProbeOrder);
boost::asio::awaitable<absl::StatusOr<StartOutcome>> startTask(rpc::Link, StartOrder);
boost::asio::awaitable<absl::StatusOr<StopOutcome>> stopTask(rpc::Link, StopOrder);

/// \return the answer; FailedPrecondition if the agent has seen a later epoch of the partition; NotFound while the
/// agent has not yet learned what runs on its worker.
boost::asio::awaitable<absl::StatusOr<RenewalAnswer>> renewTasks(rpc::Link, Renewal);

} // namespace persimmondoor::hosting
