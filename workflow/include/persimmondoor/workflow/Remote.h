/// Scheduler calls between processes over Cap'n Proto: calls of clients, reports of agents, and pings between entries.
///
/// \code
/// absl::StatusOr<ClientAnswer> answer = co_await callAt(link, call, std::chrono::seconds(2));
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/rpc/Link.h"
#include "persimmondoor/rpc/Server.h"
#include "persimmondoor/workflow/Client.h"
#include "persimmondoor/workflow/Exchange.h"
#include "persimmondoor/workflow/LeaderView.h"

#include <functional>
#include <optional>
#include <vector>

namespace persimmondoor::workflow {

/// Answer to a report: the leader's reply if the answering process is the leader, and the leadership as that process knows
/// it.
struct ExchangeAnswer {
    std::optional<ReportReply> reply_;
    LeaderView leader_;
    bool operator==(const ExchangeAnswer&) const = default;
};

struct PingAnswer {
    LeaderView leader_;
    /// Other entries that have pinged or answered the process, or that another entry has named, recently.
    std::vector<Address> peers_;
    bool operator==(const PingAnswer&) const = default;
};

/// Handlers of the calls of other processes.
struct SchedulerHandlers {
    std::function<boost::asio::awaitable<ClientAnswer>(ClientCall)> call_;
    std::function<boost::asio::awaitable<ExchangeAnswer>(AgentReport)> exchange_;
    /// \param from the address at which the calling entry listens.
    std::function<boost::asio::awaitable<PingAnswer>(Address from, LeaderView)> ping_;
};

/// Adds the scheduler to the interfaces that a server offers.
void offerScheduler(rpc::Interfaces&, const boost::asio::any_io_executor&, SchedulerHandlers);

/// Sends a client's call to another entry.
/// \return the answer; Unavailable if nothing was sent; with any other error the outcome of the call is unknown.
boost::asio::awaitable<absl::StatusOr<ClientAnswer>> callAt(rpc::Link, ClientCall, Duration limit);

/// Sends an agent's report.
/// \return the answer, or the error of the connection, or DeadlineExceeded, or InvalidArgument for a malformed answer.
boost::asio::awaitable<absl::StatusOr<ExchangeAnswer>> exchangeAt(rpc::Link, AgentReport, Duration limit);

/// Pings another entry.
/// \return the answer, or the error of the connection, or DeadlineExceeded, or InvalidArgument for a malformed answer.
boost::asio::awaitable<absl::StatusOr<PingAnswer>> pingAt(rpc::Link, Address self, LeaderView, Duration limit);

} // namespace persimmondoor::workflow
