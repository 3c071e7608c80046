#include "persimmondoor/settings/Site.h"

#include "ReadTeam.h"
#include "persimmondoor/settings/Subtrees.h"

#include <set>

namespace persimmondoor::settings {

static constexpr int64_t maximumSlots = 10'000;
static constexpr int64_t maximumConnections = 100'000;

static EntrySite readEntry(const Reader& reader)
{
    if (!reader.expectObject({ "name", "domain", "http", "operators", "rpc" }))
        return {};
    return { reader.field("name").name<ProcessName>(), reader.field("domain").name<FailureDomainName>(), reader.field("http").address(),
        reader.field("operators").address(), reader.field("rpc").address() };
}

static EndpointSite readEndpoint(const Reader& reader)
{
    if (!reader.expectObject({ "name", "service", "team", "address", "slots", "connections" }))
        return {};
    return { reader.field("name").name<EndpointName>(), reader.field("service").name<ServiceName>(), reader.field("team").name<TeamName>(),
        reader.field("address").address(), static_cast<uint32_t>(reader.field("slots").integer(1, maximumSlots)),
        static_cast<uint32_t>(reader.field("connections").integer(1, maximumConnections)) };
}

static WorkerSite readWorker(const Reader& reader)
{
    if (!reader.expectObject({ "name", "domain", "rack", "cores", "memory_gb", "accelerators", "rpc", "endpoints" }))
        return {};
    WorkerSite worker { reader.field("name").name<WorkerName>(), reader.field("domain").name<FailureDomainName>(), reader.field("rack").name<RackName>(),
        readResources(reader), reader.field("rpc").address(), {} };
    reader.field("endpoints").forEachItem([&](const Reader& item) { worker.endpoints_.push_back(readEndpoint(item)); });
    return worker;
}

// Records a fault for each name that is used more than once among `items`.
template <typename Items>
static void expectDistinctNames(const Reader& reader, const Items& items)
{
    std::set<std::string> seen;
    for (const auto& item : items) {
        if (!item.name_.empty() && !seen.insert(item.name_.value()).second)
            reader.fault(concat("name ", item.name_.value(), " is used more than once"));
    }
}

static void readOperators(const Reader& reader, Site& site)
{
    auto operators = parseOperators(reader.json());
    if (!operators.ok())
        return reader.fault(std::string(operators.status().message()));
    site.subtrees_.push_back({ TeamName::of(std::string(operatorsSubtree)), reader.json() });
}

static Site readSite(const Reader& reader)
{
    Site site;
    if (!reader.expectObject({ "cell", "platform", "entries", "workers", "teams", "operators" }))
        return site;
    site.cell_ = reader.field("cell").text();
    site.platform_ = reader.field("platform").address();
    reader.field("entries").forEachItem([&](const Reader& item) { site.entries_.push_back(readEntry(item)); });
    reader.field("workers").forEachItem([&](const Reader& item) { site.workers_.push_back(readWorker(item)); });
    reader.field("teams").forEachField([&](const std::string& name, const Reader& item) {
        auto team = TeamName::create(name);
        if (!team.ok())
            return item.fault(std::string(team.status().message()));
        if (name == operatorsSubtree)
            return item.fault("the name is reserved for the operators subtree");
        site.teams_.push_back(readTeam(*team, item));
        site.subtrees_.push_back({ *team, item.json() });
    });
    if (reader.has("operators"))
        readOperators(reader.field("operators"), site);
    expectDistinctNames(reader.field("entries"), site.entries_);
    expectDistinctNames(reader.field("workers"), site.workers_);
    return site;
}

std::vector<Address> peersOf(const Site& site, const EntrySite& self)
{
    std::vector<Address> peers;
    for (const EntrySite& entry : site.entries_) {
        if (entry.name_ != self.name_ && entry.rpc_.port() != 0)
            peers.push_back(entry.rpc_);
    }
    return peers;
}

absl::StatusOr<Site> parseSite(std::string_view text)
{
    Site site;
    absl::Status status = readTree(text, [&](const Reader& reader) { site = readSite(reader); });
    if (!status.ok())
        return status;
    return site;
}

} // namespace persimmondoor::settings
