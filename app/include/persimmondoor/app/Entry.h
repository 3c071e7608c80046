/// One entry: accepts callers' requests, routes them to agents, and serves the operators' API.
///
/// \code
/// absl::StatusOr<std::unique_ptr<Entry>> entry = Entry::start(executor, site, entrySite);
/// co_await (*entry)->shutDown(std::chrono::seconds(10));
/// \endcode
#pragma once

#include "persimmondoor/app/ServerLimits.h"
#include "persimmondoor/burn/BurnActor.h"
#include "persimmondoor/http/Server.h"
#include "persimmondoor/membership/ViewActor.h"
#include "persimmondoor/routing/RouterActor.h"
#include "persimmondoor/rpc/Server.h"
#include "persimmondoor/settings/SettingsActor.h"
#include "persimmondoor/settings/Site.h"

#include <memory>

namespace persimmondoor::app {

class JobsPart;

class Entry {
public:
    /// Starts the entry's actors and servers.
    /// \return the entry, or Unavailable if an address cannot be listened on.
    static absl::StatusOr<std::unique_ptr<Entry>> start(const boost::asio::any_io_executor&, const settings::Site&, const settings::EntrySite&, const ServerLimits& = {});

    /// The entry's site with the addresses that it listens on, after ports 0 were resolved.
    settings::EntrySite site() const { return site_; }
    /// Sets the workers' addresses, after ports 0 were resolved, for the job partitions that this process owns.
    void setWorkers(const settings::Site&);
    /// Stops listening, releases the job partitions, which takes at most 3 s, waits at most `limit` for requests in
    /// flight, and stops.
    /// \return the number of requests cut off.
    boost::asio::awaitable<size_t> shutDown(Duration limit);

private:
    Entry(settings::EntrySite, routing::RouterActor, membership::ViewActor, settings::SettingsActor, burn::BurnActor);

    settings::EntrySite site_;
    routing::RouterActor router_;
    membership::ViewActor view_;
    settings::SettingsActor settings_;
    burn::BurnActor burn_;
    std::unique_ptr<http::Server> callers_;
    std::unique_ptr<http::Server> operators_;
    std::unique_ptr<rpc::Server> peers_;
    std::shared_ptr<JobsPart> jobs_;
};

} // namespace persimmondoor::app
