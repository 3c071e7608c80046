#include "Operators.h"

#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/routing/EndpointsRoute.h"
#include "persimmondoor/settings/Follower.h"
#include "persimmondoor/settings/OperatorsAPI.h"
#include "persimmondoor/settings/Team.h"

#include <absl/strings/str_format.h>
#include <boost/asio/this_coro.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <set>

namespace persimmondoor::app {

namespace asio = boost::asio;
namespace json = boost::json;

static constexpr size_t directoryCapacity = 16384;
static constexpr size_t changesCapacity = 1024;

namespace {

    // Updates the router with the services that the settings define, and the burn actor with their objectives.
    class ServiceUpdater {
    public:
        ServiceUpdater(routing::RouterActor router, burn::BurnActor burn)
            : router_(std::move(router))
            , burn_(std::move(burn))
        {
        }

        static asio::awaitable<void> run(std::shared_ptr<ServiceUpdater> self, Mailbox<settings::Subtree> changes)
        {
            for (;;) {
                settings::Subtree subtree = co_await changes.receive();
                if (subtree.name_.value() == settings::operatorsSubtree)
                    continue;
                auto team = settings::parseTeam(subtree.name_, subtree.text_);
                if (!team.ok()) {
                    logError("settings.unreadable_team", { { "team", subtree.name_.value() }, { "error", std::string(team.status().message()) } });
                    continue;
                }
                co_await updateServices(self, *std::move(team));
            }
        }

    private:
        static asio::awaitable<void> updateServices(std::shared_ptr<ServiceUpdater> self, settings::TeamSettings team)
        {
            self->burn_.define(team);
            std::set<ServiceName> defined;
            for (const settings::ServiceSettings& service : team.services_) {
                defined.insert(service.name_);
                routing::RouterMessage message(routing::ServiceDefined { service.name_, service.tier_, service.deadline_ });
                co_await self->router_.update(std::move(message));
            }
            for (const ServiceName& service : self->servicesOf_[team.team_]) {
                if (defined.contains(service))
                    continue;
                routing::RouterMessage message(routing::ServiceRemoved { service });
                co_await self->router_.update(std::move(message));
            }
            self->servicesOf_[team.team_] = std::move(defined);
        }

        routing::RouterActor router_;
        burn::BurnActor burn_;
        std::map<TeamName, std::set<ServiceName>> servicesOf_;
    };

} // namespace

static asio::awaitable<void> runDirectory(Mailbox<Directory::Message> mailbox)
{
    std::map<WorkerName, membership::Announcement> workers;
    for (;;) {
        Directory::Message message = co_await mailbox.receive();
        if (const auto* request = std::get_if<Directory::WorkersRequest>(&message)) {
            std::vector<membership::Announcement> list;
            list.reserve(workers.size());
            for (const auto& worker : workers)
                list.push_back(worker.second);
            request->reply_.send(std::move(list));
            continue;
        }
        std::visit(Visitor {
                       [&](const membership::WorkerUp& up) { workers.insert_or_assign(up.announcement_.worker_, up.announcement_); },
                       [&](const membership::WorkerGone& gone) { workers.erase(gone.worker_); },
                   },
            std::get<membership::ViewAction>(message));
    }
}

Directory::Directory(const asio::any_io_executor& executor)
    : mailbox_(executor, directoryCapacity)
{
    spawnActor(executor, "directory", runDirectory(mailbox_));
}

void Directory::handle(membership::ViewAction action) const
{
    mailbox_.tryPost(std::move(action));
}

asio::awaitable<std::vector<membership::Announcement>> Directory::workers() const
{
    Mailbox<Message> mailbox = mailbox_;
    Reply<std::vector<membership::Announcement>> reply(co_await asio::this_coro::executor);
    if (!mailbox.tryPost(WorkersRequest { reply }))
        co_return std::vector<membership::Announcement>();
    co_return co_await reply.receive();
}

static std::vector<settings::Seed> seedsOf(const settings::Site& site)
{
    std::vector<settings::Seed> seeds;
    for (const settings::SubtreeText& subtree : site.subtrees_)
        seeds.push_back({ subtree.name_, subtree.text_ });
    return seeds;
}

static burn::BurnOptions burnOptions(const settings::Site& site, const settings::EntrySite& self, const store::TableClient& table)
{
    burn::BurnOptions options { self.name_, {}, table };
    for (const settings::EntrySite& entry : site.entries_)
        options.entries_.push_back(entry.name_);
    return options;
}

// The mailbox holds more changes than the tree has subtrees, and each is handled at once, so a full mailbox is not
// expected; a dropped change is logged as an error.
static settings::InForceListener makeInForceListener(const Mailbox<settings::Subtree>& changes, std::shared_ptr<JobsPart> jobs)
{
    return [changes, jobs = std::move(jobs)](const settings::InForce& change, settings::Digest) {
        jobs->applySettings(change.subtree_);
        if (!changes.tryPost(change.subtree_))
            logError("settings.change_dropped", { { "subtree", change.subtree_.name_.value() } });
    };
}

static settings::SettingsActor startSettings(
    const asio::any_io_executor& executor, const Clock& clock, const routing::RouterActor& router, const burn::BurnActor& burn, std::shared_ptr<JobsPart> jobs)
{
    Mailbox<settings::Subtree> changes(executor, changesCapacity);
    spawn(executor, "service updater", ServiceUpdater::run(std::make_shared<ServiceUpdater>(router, burn), changes));
    return { executor, clock, makeInForceListener(changes, std::move(jobs)) };
}

Operators::Operators(
    const asio::any_io_executor& executor, const Clock& clock, const settings::Site& site, const settings::EntrySite& self, routing::RouterActor router,
    std::shared_ptr<JobsPart> jobs)
    : self_(self)
    , table_(store::HTTPTable(store::HTTPPool::create(executor, site.platform_)))
    , peers_(settings::peersOf(site, self))
    , directory_(executor)
    , router_(std::move(router))
    , burn_(executor, burnOptions(site, self, table_))
    , settings_(startSettings(executor, clock, router_, burn_, std::move(jobs)))
{
    spawn(executor, "settings synchronizer", settings::synchronizeSettings(settings_, table_, peers_, seedsOf(site)));
}

membership::HintSource Operators::hints() const
{
    return [settings = settings_](settings::DigestAnnouncement announcement) { return settings.handle(std::move(announcement)); };
}

static json::object describe(const membership::Announcement& worker)
{
    json::object item;
    item["worker"] = worker.worker_.value();
    item["domain"] = worker.domain_.value();
    item["rack"] = worker.rack_.value();
    item["endpoints"] = worker.endpoints_.size();
    item["agent"] = worker.rpcAddress_.text();
    return item;
}

static asio::awaitable<std::vector<Address>> agentAddresses(Directory directory)
{
    std::vector<Address> addresses;
    for (const membership::Announcement& worker : co_await directory.workers())
        addresses.push_back(worker.rpcAddress_);
    co_return addresses;
}

static asio::awaitable<http::Response> listWorkers(Directory directory, http::Request)
{
    json::array list;
    for (const membership::Announcement& worker : co_await directory.workers())
        list.push_back(describe(worker));
    json::object document;
    document["workers"] = std::move(list);
    co_return http::jsonResponse(200, json::serialize(document) + "\n");
}

static asio::awaitable<http::Response> showStatus(settings::EntrySite self, Directory directory, settings::SettingsActor settings, http::Request)
{
    settings::Snapshot snapshot = co_await settings.snapshot();
    std::vector<membership::Announcement> workers = co_await directory.workers();
    size_t endpoints = 0;
    for (const membership::Announcement& worker : workers)
        endpoints += worker.endpoints_.size();
    json::object document;
    document["entry"] = self.name_.value();
    document["domain"] = self.domain_.value();
    document["state"] = snapshot.isKnown_ ? "ready" : "settings-unknown";
    document["workers"] = workers.size();
    document["endpoints"] = endpoints;
    document["settings_digest"] = absl::StrFormat("%016x", snapshot.tree_.digest());
    co_return http::jsonResponse(200, json::serialize(document) + "\n");
}

// An entry is ready when it has read the settings.
static asio::awaitable<http::Response> showReady(settings::SettingsActor settings, http::Request)
{
    settings::Snapshot snapshot = co_await settings.snapshot();
    if (!snapshot.isKnown_)
        co_return http::errorResponse(503, "not-ready", "this entry has not yet read the settings from the store or another entry");
    co_return http::jsonResponse(200, "{\"ready\":true}\n");
}

static asio::awaitable<http::Response> showHealth(http::Request)
{
    co_return http::jsonResponse(200, "{\"healthy\":true}\n");
}

http::Routes Operators::routes() const
{
    http::Routes routes;
    routing::offerEndpoints(routes, router_);
    settings::offerSettingsAPI(routes, { self_.name_, settings_, table_, peers_, [directory = directory_] { return agentAddresses(directory); } });
    burn::offerBurn(routes, burn_);
    routes.add("GET", "/v1/health", showHealth);
    routes.add("GET", "/v1/ready", [settings = settings_](http::Request request) { return showReady(settings, std::move(request)); });
    routes.add("GET", "/v1/workers", [directory = directory_](http::Request request) { return listWorkers(directory, std::move(request)); });
    routes.add("GET", "/v1/status", [self = self_, directory = directory_, settings = settings_](http::Request request) {
        return showStatus(self, directory, settings, std::move(request));
    });
    return routes;
}

} // namespace persimmondoor::app
