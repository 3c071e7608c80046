#include "persimmondoor/app/Entry.h"

#include "Jobs.h"
#include "Operators.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/routing/HTTPFront.h"
#include "persimmondoor/store/PlatformClients.h"

namespace persimmondoor::app {

namespace asio = boost::asio;

// Interval at which a shutdown checks whether requests are in flight.
static constexpr Duration shutdownCheckInterval = std::chrono::milliseconds(20);

Entry::Entry(settings::EntrySite site, routing::RouterActor router, membership::ViewActor view, settings::SettingsActor settings, burn::BurnActor burn)
    : site_(std::move(site))
    , router_(std::move(router))
    , view_(std::move(view))
    , settings_(std::move(settings))
    , burn_(std::move(burn))
{
}

static asio::awaitable<void> updateRouter(routing::RouterActor router, membership::ViewAction action)
{
    routing::RouterMessage message = std::visit([](auto& alternative) { return routing::RouterMessage(std::move(alternative)); }, action);
    co_await router.update(std::move(message));
}

static http::Limits callersLimits(http::Limits limits)
{
    limits.cancelsOnDisconnect_ = true;
    return limits;
}

absl::StatusOr<std::unique_ptr<Entry>> Entry::start(const asio::any_io_executor& executor, const settings::Site& site, const settings::EntrySite& self, const ServerLimits& limits)
{
    Clock clock = SteadyClock();
    routing::RouterActor router(executor, clock, routing::RouterOptions { static_cast<uint32_t>(wallMilliseconds()), routing::LeastExpectedTime {} });
    auto jobs = std::make_shared<JobsPart>(JobsPart::create(executor, site));
    Operators operators(executor, clock, site, self, router, jobs);
    membership::ViewActor view(executor, clock, [router, operators](membership::ViewAction action) {
        operators.handle(action);
        return updateRouter(router, std::move(action));
    });
    auto entry = std::unique_ptr<Entry>(new Entry(self, router, view, operators.settings(), operators.burn()));

    routing::ClaimsActor claims(executor, clock, store::connectPlatform(executor, site.platform_).table_);
    entry->jobs_ = jobs;
    http::Routes routes = operators.routes();
    entry->jobs_->offer(routes);
    http::Handler front = burn::observe(routing::makeHTTPFront(self.name_, router, claims), operators.burn());
    auto callers = http::Server::listen(executor, self.http_, callersLimits(limits.requests_), std::move(front));
    auto api = http::Server::listen(executor, self.operators_, limits.operators_, routes.handler());
    rpc::Interfaces interfaces;
    membership::offerMembership(interfaces, view, operators.hints());
    settings::offerSettings(interfaces, executor, operators.settings());
    entry->jobs_->offer(interfaces);
    auto peers = rpc::Server::listen(executor, self.rpc_, std::move(interfaces), limits.peers_);
    for (const absl::Status& status : { callers.status(), api.status(), peers.status() }) {
        if (!status.ok())
            return status;
    }
    membership::fetchMembersFromPeers(view, settings::peersOf(site, self));
    entry->callers_ = *std::move(callers);
    entry->operators_ = *std::move(api);
    entry->peers_ = *std::move(peers);
    entry->site_.http_ = entry->callers_->address();
    entry->site_.operators_ = entry->operators_->address();
    entry->site_.rpc_ = entry->peers_->address();
    entry->jobs_->startOwnership(self.name_, entry->site_.rpc_);
    logInfo("entry.started", { { "name", self.name_.value() }, { "http", entry->site_.http_.text() } });
    return entry;
}

void Entry::setWorkers(const settings::Site& site)
{
    jobs_->setWorkers(site);
}

asio::awaitable<size_t> Entry::shutDown(Duration limit)
{
    callers_->stopAccepting();
    co_await jobs_->shutDown();
    Clock clock = SteadyClock();
    Instant end = now(clock) + limit;
    while (callers_->inFlight() > 0 && now(clock) < end)
        co_await sleepFor(shutdownCheckInterval);
    size_t left = callers_->inFlight();
    logInfo("entry.stopped", { { "name", site_.name_.value() }, { "requests_cut_off", std::to_string(left) } });
    callers_->close();
    operators_->close();
    peers_->close();
    view_.stop();
    settings_.stop();
    burn_.stop();
    router_.stop();
    co_return left;
}

} // namespace persimmondoor::app
