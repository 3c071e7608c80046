#include "persimmondoor/app/Agent.h"

#include "Hosting.h"
#include "Jobs.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"

namespace persimmondoor::app {

namespace asio = boost::asio;

// Capacity of the mailbox of digests to announce. If it is full, a digest is dropped and the next change announces a
// newer one.
static constexpr size_t digestCapacity = 1024;
// Time between the end of the last request and the closing of the connections, so that the last answers reach the
// entries.
static constexpr Duration lastAnswersGrace = std::chrono::milliseconds(300);

Agent::Agent(admission::GateActor gate, hosting::HostActor host, membership::Announcer announcer, settings::SettingsActor settings, settings::Follower follower,
    std::unique_ptr<rpc::Server> server)
    : gate_(std::move(gate))
    , host_(std::move(host))
    , announcer_(std::move(announcer))
    , settings_(std::move(settings))
    , follower_(std::move(follower))
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

static membership::Announcement firstAnnouncement(const settings::WorkerSite& self, Incarnation incarnation, const Address& address)
{
    std::vector<membership::EndpointOffer> offers;
    for (const settings::EndpointSite& endpoint : self.endpoints_)
        offers.push_back({ endpoint.name_, endpoint.service_, endpoint.team_, endpoint.slots_, endpoint.connections_ });
    return { self.name_, self.domain_, self.rack_, incarnation, Sequence(1), address, std::move(offers), false };
}

static asio::awaitable<void> reportDigests(Mailbox<settings::Digest> digests, membership::Announcer announcer)
{
    for (;;)
        announcer.report(co_await digests.receive());
}

absl::StatusOr<std::unique_ptr<Agent>> Agent::start(const asio::any_io_executor& executor, const settings::Site& site, const settings::WorkerSite& self, const ServerLimits& limits)
{
    auto gate = admission::GateActor::create(executor, SteadyClock(), localEndpoints(self));
    if (!gate.ok())
        return gate.status();
    // Hosts have no persistent storage, so the start time numbers the incarnations of an agent.
    Incarnation incarnation(static_cast<uint64_t>(wallMilliseconds()));
    rpc::Interfaces interfaces;
    admission::offerAdmission(interfaces, executor, *gate);
    auto host = startHosting(executor, self, incarnation, store::connectPlatform(executor, site.platform_), interfaces);
    // The settings actor must exist before the server, and the announcer after it, so digests pass through a mailbox.
    Mailbox<settings::Digest> digests(executor, digestCapacity);
    auto jobs = std::make_shared<JobsPart>(JobsPart::create(executor, site));
    jobs->offer(interfaces);
    settings::SettingsActor tree(executor, SteadyClock(), [digests, jobs](const settings::InForce& change, settings::Digest digest) {
        jobs->applySettings(change.subtree_);
        digests.tryPost(digest);
    });
    settings::offerSettings(interfaces, executor, tree);
    auto server = rpc::Server::listen(executor, self.rpc_, std::move(interfaces), limits.peers_);
    if (!server.ok())
        return server.status();
    std::vector<Address> entries;
    for (const settings::EntrySite& entry : site.entries_)
        entries.push_back(entry.rpc_);
    settings::Follower follower(executor, tree);
    membership::Announcer announcer(executor, entries, firstAnnouncement(self, incarnation, (*server)->address()),
        [follower](const Address& entry, const settings::Hint& hint) { follower.hint(entry, hint); });
    spawn(executor, "settings digests", reportDigests(digests, announcer));
    logInfo("agent.started", { { "worker", self.name_.value() }, { "rpc", (*server)->address().text() } });
    jobs->startOwnership(ProcessName::of(self.name_.value()), (*server)->address());
    auto agent = std::unique_ptr<Agent>(new Agent(*std::move(gate), std::move(host), std::move(announcer), std::move(tree), std::move(follower), *std::move(server)));
    agent->jobs_ = std::move(jobs);
    return agent;
}

void Agent::setWorkers(const settings::Site& site)
{
    jobs_->setWorkers(site);
}

asio::awaitable<void> Agent::shutDown(Duration limit)
{
    co_await jobs_->shutDown();
    announcer_.leave();
    size_t left = co_await gate_.drain(limit);
    // Tasks continue to run under their leases while the agent is replaced.
    co_await host_.drain();
    // The last answers may still be in flight to the entries.
    co_await sleepFor(lastAnswersGrace);
    logInfo("agent.stopped", { { "requests_cut_off", std::to_string(left) } });
    server_->close();
    announcer_.stop();
    host_.end();
    follower_.stop();
    settings_.stop();
    gate_.stop();
}

} // namespace persimmondoor::app
