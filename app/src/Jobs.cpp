#include "Jobs.h"

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"

namespace persimmondoor::app {

namespace asio = boost::asio;

// Time-out of the release of partitions at a shutdown. Partitions that are not released within this time become free
// when their leases expire.
static constexpr Duration releaseTimeout = std::chrono::seconds(3);

JobsPart::JobsPart(asio::any_io_executor executor, store::TableClient table, jobs::JobsActor jobs, jobs::JobsFront front, uint32_t candidates, std::map<TeamName, Resources> quotas)
    : executor_(std::move(executor))
    , table_(std::move(table))
    , jobs_(std::move(jobs))
    , front_(std::move(front))
    , candidates_(candidates)
    , quotas_(std::move(quotas))
{
}

static std::vector<jobs::WorkerAddress> workersOf(const settings::Site& site)
{
    std::vector<jobs::WorkerAddress> workers;
    for (const settings::WorkerSite& worker : site.workers_)
        workers.push_back({ { { worker.name_, worker.rack_, worker.domain_ }, worker.resources_ }, worker.rpc_ });
    return workers;
}

void JobsPart::setWorkers(const settings::Site& site) const
{
    jobs_.setWorkers(workersOf(site));
}

JobsPart JobsPart::create(const asio::any_io_executor& executor, const settings::Site& site)
{
    store::HTTPPool pool = store::HTTPPool::create(executor, site.platform_);
    store::TableClient table = store::HTTPTable(pool);
    std::map<TeamName, Resources> quotas;
    for (const settings::TeamSettings& team : site.teams_)
        quotas.emplace(team.team_, team.quota_);
    jobs::JobsEnvironment environment { table, store::HTTPObjects(pool), quotas, workersOf(site) };
    std::set<FailureDomainName> domains;
    for (const settings::WorkerSite& worker : site.workers_)
        domains.insert(worker.domain_);
    auto candidates = static_cast<uint32_t>(site.entries_.size() + site.workers_.size());
    jobs::JobsActor jobs = jobs::JobsActor::create(executor, SteadyClock(), std::move(environment));
    jobs::JobsFront front(executor, table, jobs, leases::defaultPartitionCount, std::move(domains));
    return { executor, std::move(table), std::move(jobs), std::move(front), candidates, std::move(quotas) };
}

void JobsPart::applySettings(const settings::Subtree& subtree)
{
    if (subtree.name_.value() == settings::operatorsSubtree)
        return;
    auto team = settings::parseTeam(subtree.name_, subtree.text_);
    if (!team.ok()) {
        logError("jobs.unreadable_team", { { "team", subtree.name_.value() }, { "error", std::string(team.status().message()) } });
        return;
    }
    quotas_.insert_or_assign(team->team_, team->quota_);
    jobs_.setQuotas(quotas_);
}

void JobsPart::offer(rpc::Interfaces& interfaces) const
{
    jobs::offerJobs(interfaces, executor_, jobs_);
}

void JobsPart::startOwnership(const ProcessName& process, const Address& address)
{
    leases::OwnershipSettings settings;
    settings.process_ = process;
    // Hosts have no persistent storage, so the start time numbers the incarnations of a process.
    settings.incarnation_ = Incarnation(static_cast<uint64_t>(wallMilliseconds()));
    settings.address_ = address;
    settings.candidates_ = std::max(candidates_, 1U);
    jobs::JobsActor jobs = jobs_;
    auto ownership = leases::OwnershipActor::create(executor_, SteadyClock(), table_, settings, [jobs](const leases::OwnershipChange& change) { jobs.handleOwnershipChange(change); });
    assertInvariant(ownership.ok(), "the default ownership settings are valid");
    ownership_ = *std::move(ownership);
}

static asio::awaitable<absl::StatusOr<bool>> releasePartitions(leases::OwnershipActor ownership)
{
    co_await ownership.release();
    co_return true;
}

asio::awaitable<void> JobsPart::shutDown()
{
    if (ownership_) {
        auto released = co_await withTimeout(releasePartitions(*ownership_), releaseTimeout);
        if (!released.ok())
            logWarning("jobs.partitions_not_given_back", { { "error", std::string(released.status().message()) } });
        ownership_->stop();
    }
    jobs_.stop();
}

} // namespace persimmondoor::app
