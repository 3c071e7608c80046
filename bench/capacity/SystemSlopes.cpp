#include "Measure.h"
#include "Meter.h"
#include "persimmondoor/app/Agent.h"
#include "persimmondoor/app/Entry.h"
#include "persimmondoor/app/Standins.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/rpc/Link.h"
#include "persimmondoor/rpc/Loop.h"

#include <absl/status/statusor.h>

namespace persimmondoor::capacity {

// Time until announcements and leases are stable, and time over which costs are measured after that.
static constexpr std::chrono::seconds warmUpTime(5);
static constexpr std::chrono::seconds measuringTime(10);
static constexpr int entryCount = 2;

static settings::Site siteOf(int workers)
{
    const Address any = *Address::parse("127.0.0.1:0");
    settings::Site site { "capacity", any, {}, {}, {}, {} };
    for (int index = 0; index < entryCount; ++index)
        site.entries_.push_back({ ProcessName::of(concat("entry-", index)), FailureDomainName::of("domain-0"), any, any, any });
    Resources resources = *Resources::create(64'000, 250'000'000'000, 1);
    for (int index = 0; index < workers; ++index) {
        settings::WorkerSite worker { WorkerName::of(concat("worker-", index)), FailureDomainName::of(concat("domain-", index % 4)),
            RackName::of(concat("rack-", index / 40)), resources, any, {} };
        worker.endpoints_.push_back({ EndpointName::of(concat("endpoint-", index)), ServiceName::of("packs"), TeamName::of("lankacell"), any, 8, 64 });
        site.workers_.push_back(std::move(worker));
    }
    settings::TeamSettings team;
    team.team_ = TeamName::of("lankacell");
    settings::ServiceSettings service;
    service.name_ = ServiceName::of("packs");
    service.tier_ = Tier::Paying;
    team.services_.push_back(std::move(service));
    site.teams_.push_back(std::move(team));
    return site;
}

namespace {

    struct Costs {
        double bytesPerSecond_ { 0 };
        double microsecondsPerSecond_ { 0 };
        double heapBytes_ { 0 };
    };

} // namespace

static Costs runSystem(int workers)
{
    double heapBefore = heapBytes();
    rpc::Loop loop;
    auto executor = loop.context().get_executor();
    auto standins = app::Standins::start(executor, siteOf(workers));
    assertInvariant(standins.ok(), "stand-ins start");
    settings::Site site = (*standins)->site();
    std::vector<std::unique_ptr<app::Entry>> entries;
    for (settings::EntrySite& self : site.entries_) {
        auto entry = app::Entry::start(executor, site, self);
        assertInvariant(entry.ok(), "entry starts");
        self = (*entry)->site();
        entries.push_back(*std::move(entry));
    }
    std::vector<std::unique_ptr<app::Agent>> agents;
    for (const settings::WorkerSite& self : site.workers_) {
        auto agent = app::Agent::start(executor, site, self);
        assertInvariant(agent.ok(), "agent starts");
        agents.push_back(*std::move(agent));
    }
    loop.context().run_for(warmUpTime);
    double bytes = static_cast<double>(rpc::bytesSent());
    double microseconds = threadMicroseconds();
    loop.context().run_for(measuringTime);
    double seconds = std::chrono::duration<double>(measuringTime).count();
    return { (static_cast<double>(rpc::bytesSent()) - bytes) / seconds, (threadMicroseconds() - microseconds) / seconds, heapBytes() - heapBefore };
}

Slopes measureSystem()
{
    std::vector<Point> bytes;
    std::vector<Point> processor;
    std::vector<Point> memory;
    for (int workers : { 50, 100, 200 }) {
        Costs costs = runSystem(workers);
        bytes.push_back({ static_cast<double>(workers), costs.bytesPerSecond_ });
        processor.push_back({ static_cast<double>(workers), costs.microsecondsPerSecond_ });
        memory.push_back({ static_cast<double>(workers), costs.heapBytes_ });
    }
    return { fit("system.bytes", "agents", "B/s", bytes), fit("system.processor", "agents", "us/s", processor), fit("system.memory", "agents", "bytes", memory) };
}

} // namespace persimmondoor::capacity
