#include "persimmondoor/app/Entry.h"

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/http/Routes.h"
#include "persimmondoor/platform/PlatformClients.h"
#include "persimmondoor/routing/EndpointsRoute.h"
#include "persimmondoor/routing/HTTPFront.h"

namespace persimmondoor::app {

namespace asio = boost::asio;

// How often a shutdown looks whether requests are left.
static constexpr Duration shutdownCheckInterval = std::chrono::milliseconds(20);

Entry::Entry(settings::EntrySite site, routing::RouterActor router, membership::ViewActor view)
    : site_(std::move(site))
    , router_(std::move(router))
    , view_(std::move(view))
{
}

static void learnServices(const routing::RouterActor& router, const settings::Site& site)
{
    for (const settings::TeamSettings& team : site.teams_) {
        for (const settings::ServiceSettings& service : team.services_)
            router.learn(routing::ServiceDefined { service.name_, service.tier_, service.deadline_ });
    }
}

static asio::awaitable<void> tellRouter(routing::RouterActor router, membership::ViewAction action)
{
    routing::RouterMessage message = std::visit([](auto& alternative) { return routing::RouterMessage(std::move(alternative)); }, action);
    co_await router.learnSurely(std::move(message));
}

static http::Limits callersLimits()
{
    http::Limits limits;
    limits.cancelsForGoneClients_ = true;
    return limits;
}

static http::Routes operatorsRoutes(const routing::RouterActor& router)
{
    http::Routes routes;
    routing::offerEndpoints(routes, router);
    routes.add("GET", "/v1/health", [](http::Request) -> asio::awaitable<http::Response> { co_return http::jsonResponse(200, "{\"healthy\":true}\n"); });
    return routes;
}

absl::StatusOr<std::unique_ptr<Entry>> Entry::start(const asio::any_io_executor& executor, const settings::Site& site, const settings::EntrySite& self)
{
    Clock clock = SteadyClock();
    routing::RouterActor router(executor, clock, routing::RouterOptions { static_cast<uint32_t>(wallMilliseconds()), routing::LeastExpectedTime {} });
    learnServices(router, site);
    membership::ViewActor view(executor, clock, [router](membership::ViewAction action) { return tellRouter(router, std::move(action)); });
    auto entry = std::unique_ptr<Entry>(new Entry(self, router, view));

    routing::ClaimsActor claims(executor, clock, platform::connectPlatform(executor, site.platform_).table_);
    auto callers = http::Server::listen(executor, self.http_, callersLimits(), routing::makeHTTPFront(self.name_, router, claims));
    auto operators = http::Server::listen(executor, self.operators_, {}, operatorsRoutes(router).handler());
    rpc::Interfaces interfaces;
    membership::offerMembership(interfaces, view);
    auto peers = rpc::Server::listen(executor, self.rpc_, std::move(interfaces));
    for (const absl::Status& status : { callers.status(), operators.status(), peers.status() }) {
        if (!status.ok())
            return status;
    }
    entry->callers_ = *std::move(callers);
    entry->operators_ = *std::move(operators);
    entry->peers_ = *std::move(peers);
    entry->site_.http_ = entry->callers_->address();
    entry->site_.operators_ = entry->operators_->address();
    entry->site_.rpc_ = entry->peers_->address();
    logInfo("entry.started", { { "name", self.name_.value() }, { "http", entry->site_.http_.text() } });
    return entry;
}

asio::awaitable<size_t> Entry::shutDown(Duration limit)
{
    callers_->stopAccepting();
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
    router_.stop();
    co_return left;
}

} // namespace persimmondoor::app
