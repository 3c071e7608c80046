/// Stand-ins for the system's environment, for local runs and tests: the platform's services, and service instances that
/// echo each request.
///
/// \code
/// absl::StatusOr<std::unique_ptr<Standins>> standins = Standins::start(executor, site);
/// settings::Site resolved = (*standins)->site();
/// \endcode
#pragma once

#include "persimmondoor/http/Server.h"
#include "persimmondoor/settings/Site.h"
#include "persimmondoor/store/StandinServer.h"

#include <memory>
#include <vector>

namespace persimmondoor::app {

class Standins {
public:
    /// Starts the platform's services and one service instance for each endpoint of the site.
    /// \return the stand-ins, or Unavailable if an address cannot be listened on.
    static absl::StatusOr<std::unique_ptr<Standins>> start(const boost::asio::any_io_executor&, settings::Site);

    /// The site with the addresses that the stand-ins listen on, after ports 0 were resolved.
    const settings::Site& site() const { return site_; }

private:
    explicit Standins(settings::Site site)
        : site_(std::move(site))
    {
    }

    settings::Site site_;
    store::PlatformStandins platform_ = store::PlatformStandins::create(SteadyClock());
    std::vector<std::unique_ptr<http::Server>> servers_;
};

} // namespace persimmondoor::app
