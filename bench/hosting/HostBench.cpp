#include "HostBench.h"

namespace persimmondoor::hosting {

static const WorkerName worker = WorkerName::of("worker-01");
static constexpr PartitionNumber partition(7);

HostBench::HostBench()
{
    workers_.add(worker, capacity_);
    HostSettings settings { worker, FailureDomainName::of("domain-a"), RackName::of("rack-a1"), capacity_, Incarnation(1), Duration(0) };
    host_ = HostActor::create(executor(), SteadyClock(), settings, workers_);
    rpc::Interfaces interfaces;
    offerHosting(interfaces, executor(), *host_);
    server_ = *rpc::Server::listen(executor(), *Address::parse("127.0.0.1:0"), std::move(interfaces));
    link_.emplace(executor(), server_->address());
    while (!run(probeHost(*link_, { TeamName::of("lankacell"), capacity_ }))->accepting_) { }
}

RenewalBytes HostBench::measureRenewals(uint64_t tasks)
{
    while (running_.size() < tasks)
        start(nextOrder());
    Renewal renewal { partition, Epoch(1), stamp(), std::chrono::seconds(600), Sequence(), {}, digestOf(running_) };
    RenewalBytes bytes { tasks };
    RenewalAnswer answer = renew(renewal, bytes.events_);
    renewal.acknowledged_ = answer.events_.back().sequence_;
    renew(renewal, bytes.equalDigests_);
    renew(renewal, bytes.equalDigests_);
    renewal.digest_ = 0;
    renew(renewal, bytes.differentDigests_);
    return bytes;
}

uint64_t HostBench::measureProbe()
{
    uint64_t before = settledBytes();
    stamp();
    return settledBytes() - before;
}

uint64_t HostBench::measureStart()
{
    StartOrder order = nextOrder();
    uint64_t before = settledBytes();
    start(order);
    return settledBytes() - before;
}

Stamp HostBench::stamp()
{
    return run(probeHost(*link_, { TeamName::of("lankacell"), capacity_ }))->stamp_;
}

StartOrder HostBench::nextOrder()
{
    TaskAttempt task { TaskId::of("lankacell/rebuild-plan/" + std::to_string(running_.size())), Attempt(1) };
    return { task.task_, task.attempt_, partition, Epoch(1), TeamName::of("lankacell"), Tier::Trial, *Resources::create(100, 100, 0), "sleep 600000", "", stamp(),
        std::chrono::seconds(600) };
}

void HostBench::start(const StartOrder& order)
{
    auto outcome = run(startTask(*link_, order));
    assertInvariant(outcome.ok() && std::holds_alternative<Started>(*outcome), "the agent starts the task");
    running_.push_back({ order.task_, order.attempt_ });
}

RenewalAnswer HostBench::renew(const Renewal& renewal, uint64_t& bytes)
{
    uint64_t before = settledBytes();
    auto answer = run(renewTasks(*link_, renewal));
    bytes = settledBytes() - before;
    assertInvariant(answer.ok() && answer->renewed_, "the agent renews the leases");
    return *std::move(answer);
}

uint64_t HostBench::settledBytes()
{
    loop_.context().poll();
    return rpc::bytesSent();
}

} // namespace persimmondoor::hosting
