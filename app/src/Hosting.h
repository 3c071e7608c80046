// Starts the part of an agent that hosts tasks.
#pragma once

#include "persimmondoor/hosting/HostActor.h"
#include "persimmondoor/settings/Site.h"
#include "persimmondoor/store/PlatformClients.h"

namespace persimmondoor::app {

// Starts the actor that owns the tasks of a worker and offers it on `interfaces`.
hosting::HostActor startHosting(const boost::asio::any_io_executor&, const settings::WorkerSite&, Incarnation, const store::PlatformClients&, rpc::Interfaces&);

} // namespace persimmondoor::app
