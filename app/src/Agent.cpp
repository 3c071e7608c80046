#include "persimmondoor/app/Agent.h"

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"

namespace persimmondoor::app {

namespace asio = boost::asio;

// Time between the end of the last request and the end of the connections to the entries.
static constexpr Duration lastAnswersGrace = std::chrono::milliseconds(300);

Agent::Agent(admission::GateActor gate, membership::Announcer announcer, std::unique_ptr<rpc::Server> server)
    : gate_(std::move(gate))
    , announcer_(std::move(announcer))
    , server_(std::move(server))
{
}

static std::vector<admission::LocalEndpoint> localEndpoints(const settings::WorkerSite& self)
{
    std::vector<admission::LocalEndpoint> endpoints;
    for (const settings::EndpointSite& endpoint : self.endpoints_)
        endpoints.push_back({ { endpoint.name_, endpoint.slots_, endpoint.connections_ }, endpoint.address_ });
    return endpoints;
}

static membership::Announcement firstAnnouncement(const settings::WorkerSite& self, const Address& address)
{
    std::vector<membership::EndpointOffer> offers;
    for (const settings::EndpointSite& endpoint : self.endpoints_)
        offers.push_back({ endpoint.name_, endpoint.service_, endpoint.team_, endpoint.slots_, endpoint.connections_ });
    // Hosts keep nothing, so the time of the start numbers the lives of an agent.
    Incarnation incarnation(static_cast<uint64_t>(wallMilliseconds()));
    return { self.name_, self.domain_, self.rack_, incarnation, Sequence(1), address, std::move(offers), false };
}

absl::StatusOr<std::unique_ptr<Agent>> Agent::start(const asio::any_io_executor& executor, const settings::Site& site, const settings::WorkerSite& self)
{
    auto gate = admission::GateActor::create(executor, SteadyClock(), localEndpoints(self));
    if (!gate.ok())
        return gate.status();
    rpc::Interfaces interfaces;
    admission::offerAdmission(interfaces, executor, *gate);
    auto server = rpc::Server::listen(executor, self.rpc_, std::move(interfaces));
    if (!server.ok())
        return server.status();
    std::vector<Address> entries;
    for (const settings::EntrySite& entry : site.entries_)
        entries.push_back(entry.rpc_);
    membership::Announcer announcer(executor, entries, firstAnnouncement(self, (*server)->address()));
    logInfo("agent.started", { { "worker", self.name_.value() }, { "rpc", (*server)->address().text() } });
    return std::unique_ptr<Agent>(new Agent(*std::move(gate), std::move(announcer), *std::move(server)));
}

asio::awaitable<void> Agent::shutDown(Duration limit)
{
    announcer_.leave();
    size_t left = co_await gate_.drain(limit);
    // The last answers are still on their way to the entries.
    co_await sleepFor(lastAnswersGrace);
    logInfo("agent.stopped", { { "requests_cut_off", std::to_string(left) } });
    server_->close();
    announcer_.stop();
    gate_.stop();
}

} // namespace persimmondoor::app
