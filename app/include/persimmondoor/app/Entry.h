/// One entry: takes callers' requests in and sends them to agents.
///
/// \code
/// absl::StatusOr<std::unique_ptr<Entry>> entry = Entry::start(executor, site, entrySite);
/// co_await (*entry)->shutDown(std::chrono::seconds(10));
/// \endcode
#pragma once

#include "persimmondoor/burn/BurnActor.h"
#include "persimmondoor/http/Server.h"
#include "persimmondoor/membership/ViewActor.h"
#include "persimmondoor/routing/RouterActor.h"
#include "persimmondoor/rpc/Server.h"
#include "persimmondoor/settings/SettingsActor.h"
#include "persimmondoor/settings/Site.h"

#include <memory>

namespace persimmondoor::app {

class Entry {
public:
    /// Starts the entry's actors and servers.
    /// \return the entry, or Unavailable if an address cannot be listened on.
    static absl::StatusOr<std::unique_ptr<Entry>> start(const boost::asio::any_io_executor&, const settings::Site&, const settings::EntrySite&);

    /// Where the entry listens in fact, after ports 0 were resolved.
    settings::EntrySite site() const { return site_; }
    /// Stops listening, finishes what is in flight for at most `limit` and ends.
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
};

} // namespace persimmondoor::app
