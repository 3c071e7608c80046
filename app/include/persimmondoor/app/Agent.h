/// The agent of one worker: announces the worker to the entries, admits and serves requests for its endpoints, and hosts
/// batch tasks.
///
/// \code
/// absl::StatusOr<std::unique_ptr<Agent>> agent = Agent::start(executor, site, workerSite);
/// co_await (*agent)->shutDown(std::chrono::seconds(10));
/// \endcode
#pragma once

#include "persimmondoor/admission/GateActor.h"
#include "persimmondoor/app/ServerLimits.h"
#include "persimmondoor/hosting/HostActor.h"
#include "persimmondoor/membership/Announcer.h"
#include "persimmondoor/rpc/Server.h"
#include "persimmondoor/settings/Follower.h"
#include "persimmondoor/settings/Site.h"

#include <memory>

namespace persimmondoor::app {

class JobsPart;

class Agent {
public:
    /// Starts the agent's actors and server.
    /// \return the agent, Unavailable if its address cannot be listened on, or InvalidArgument if its endpoints are
    /// invalid.
    static absl::StatusOr<std::unique_ptr<Agent>> start(const boost::asio::any_io_executor&, const settings::Site&, const settings::WorkerSite&, const ServerLimits& = {});

    /// The address that the agent listens on, after port 0 was resolved.
    Address address() const { return server_->address(); }
    /// Sets the workers' addresses, after ports 0 were resolved, for the job partitions that this process owns.
    void setWorkers(const settings::Site&);
    /// Releases the job partitions, which takes at most 3 s, and announces that the worker leaves. Then refuses new
    /// requests, waits at most `limit` for those in flight, and stops. Tasks continue to run under their leases.
    boost::asio::awaitable<void> shutDown(Duration limit);

private:
    Agent(admission::GateActor, hosting::HostActor, membership::Announcer, settings::SettingsActor, settings::Follower, std::unique_ptr<rpc::Server>);

    admission::GateActor gate_;
    hosting::HostActor host_;
    membership::Announcer announcer_;
    settings::SettingsActor settings_;
    settings::Follower follower_;
    std::unique_ptr<rpc::Server> server_;
    std::shared_ptr<JobsPart> jobs_;
};

} // namespace persimmondoor::app
