// Bytes of a renewal on the wire against the number of tasks of one partition on a host, in both directions together:
// with equal digests, with digests that differ, and with an event of every task.
//
// bench_hosting [--json]

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/hosting/Client.h"
#include "persimmondoor/hosting/HostActor.h"
#include "persimmondoor/rpc/Loop.h"

#include <boost/asio/co_spawn.hpp>
#include <iomanip>
#include <iostream>
#include <optional>

using namespace persimmondoor;
using namespace persimmondoor::hosting;

namespace {

const WorkerName worker = WorkerName::of("worker-01");
constexpr PartitionNumber partition(7);

struct Measurement {
    uint64_t tasks_ { 0 };
    uint64_t equal_ { 0 };
    uint64_t different_ { 0 };
    uint64_t events_ { 0 };
};

class Bench {
public:
    Bench()
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

    Measurement measure(uint64_t tasks)
    {
        while (running_.size() < tasks)
            startOne();
        Renewal renewal { partition, Epoch(1), stamp(), std::chrono::seconds(600), Sequence(), {}, digestOf(running_) };
        Measurement measurement { tasks };
        RenewalAnswer answer = renew(renewal, measurement.events_);
        renewal.acknowledged_ = answer.events_.back().sequence_;
        renew(renewal, measurement.equal_);
        renew(renewal, measurement.equal_);
        renewal.digest_ = 0;
        renew(renewal, measurement.different_);
        return measurement;
    }

private:
    boost::asio::any_io_executor executor() { return loop_.context().get_executor(); }

    template <typename T>
    T run(boost::asio::awaitable<T> body)
    {
        std::optional<T> result;
        boost::asio::co_spawn(executor(), std::move(body), [&](const std::exception_ptr&, T value) { result = std::move(value); });
        while (!result && loop_.context().run_one() > 0) { }
        return *std::move(result);
    }

    Stamp stamp() { return run(probeHost(*link_, { TeamName::of("lankacell"), capacity_ }))->stamp_; }

    void startOne()
    {
        TaskAttempt task { TaskId::of("lankacell/rebuild-plan/" + std::to_string(running_.size())), Attempt(1) };
        StartOrder order { task.task_, task.attempt_, partition, Epoch(1), TeamName::of("lankacell"), Tier::Trial, *Resources::create(100, 100, 0), "sleep 600000", "", stamp(),
            std::chrono::seconds(600) };
        auto outcome = run(startTask(*link_, order));
        assertInvariant(outcome.ok() && std::holds_alternative<Started>(*outcome), "the task starts");
        running_.push_back(std::move(task));
    }

    // Both ends are on this thread: what is sent counts both directions.
    RenewalAnswer renew(const Renewal& renewal, uint64_t& bytes)
    {
        loop_.context().poll();
        uint64_t before = rpc::bytesSent();
        auto answer = run(renewTasks(*link_, renewal));
        loop_.context().poll();
        bytes = rpc::bytesSent() - before;
        assertInvariant(answer.ok() && answer->renewed_, "the renewal is answered");
        return *std::move(answer);
    }

    rpc::Loop loop_;
    Resources capacity_ = *Resources::create(1'000'000, 1'000'000, 0);
    platform::MemoryWorkers workers_ = platform::MemoryWorkers::create(SteadyClock());
    std::optional<HostActor> host_;
    std::unique_ptr<rpc::Server> server_;
    std::optional<rpc::Link> link_;
    std::vector<TaskAttempt> running_;
};

} // namespace

static void printTable(const std::vector<Measurement>& rows)
{
    std::cout << "tasks  bytes, equal digests  bytes, running listed  bytes, new tasks' events\n";
    for (const Measurement& row : rows)
        std::cout << std::setw(5) << row.tasks_ << std::setw(22) << row.equal_ << std::setw(23) << row.different_ << std::setw(26) << row.events_ << "\n";
}

static void printJSON(const std::vector<Measurement>& rows)
{
    for (const Measurement& row : rows)
        std::cout << "{\"tasks\":" << row.tasks_ << ",\"equal\":" << row.equal_ << ",\"different\":" << row.different_ << ",\"events\":" << row.events_ << "}\n";
}

int main(int argc, char** argv)
{
    startLog(LogLevel::Error, "bench");
    Bench bench;
    std::vector<Measurement> rows;
    for (uint64_t tasks : { 1, 8, 32, 128 })
        rows.push_back(bench.measure(tasks));
    if (argc > 1 && std::string(argv[1]) == "--json")
        printJSON(rows);
    else
        printTable(rows);
    return 0;
}
