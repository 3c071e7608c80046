#include "Hosting.h"

namespace persimmondoor::app {

hosting::HostActor startHosting(const boost::asio::any_io_executor& executor, const settings::WorkerSite& self, Incarnation incarnation, const store::PlatformClients& platform, rpc::Interfaces& interfaces)
{
    hosting::HostSettings settings { self.name_, self.domain_, self.rack_, self.resources_, incarnation, store::platformTimeout };
    auto host = hosting::HostActor::create(executor, SteadyClock(), std::move(settings), platform.workers_);
    hosting::offerHosting(interfaces, executor, host);
    return host;
}

} // namespace persimmondoor::app
