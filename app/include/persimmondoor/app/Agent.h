/// One agent: announces its worker, guards its endpoints and serves requests for them, and hosts tasks.
///
/// \code
/// absl::StatusOr<std::unique_ptr<Agent>> agent = Agent::start(executor, site, workerSite);
/// co_await (*agent)->shutDown(std::chrono::seconds(10));
/// \endcode
#pragma once

#include "persimmondoor/admission/GateActor.h"
#include "persimmondoor/hosting/HostActor.h"
#include "persimmondoor/membership/Announcer.h"
#include "persimmondoor/rpc/Server.h"
#include "persimmondoor/settings/Follower.h"
#include "persimmondoor/settings/Site.h"

#include <memory>

namespace persimmondoor::app {

class Agent {
public:
    /// Starts the agent's actors and server.
    /// \return the agent, or Unavailable or InvalidArgument.
    static absl::StatusOr<std::unique_ptr<Agent>> start(const boost::asio::any_io_executor&, const settings::Site&, const settings::WorkerSite&);

    /// Where the agent listens in fact.
    Address address() const { return server_->address(); }
    /// Announces that the worker leaves, refuses new requests and waits for those in flight for at most `limit`.
    boost::asio::awaitable<void> shutDown(Duration limit);

private:
    Agent(admission::GateActor, hosting::HostActor, membership::Announcer, settings::SettingsActor, settings::Follower, std::unique_ptr<rpc::Server>);

    admission::GateActor gate_;
    hosting::HostActor host_;
    membership::Announcer announcer_;
    settings::SettingsActor settings_;
    settings::Follower follower_;
    std::unique_ptr<rpc::Server> server_;
};

} // namespace persimmondoor::app
