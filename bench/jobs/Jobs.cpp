// Measures the jobs journal on a table that counts its writes: writes and bytes per 1,000 starts at several rates, the
// time from the submission of urgent work to its start order while deferred records fill every batch, and the size and
// duration of a recovery. Decisions run on a simulated clock; CPU time is that of the process.
#include "Store.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/jobs/Owner.h"
#include "persimmondoor/store/TableState.h"

#include <chrono>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <malloc.h>

using namespace persimmondoor;
using namespace persimmondoor::jobs;

namespace {

const PartitionNumber partition(1);
const TeamName team = TeamName::of("team");

JobSpec makeJob(const std::string& name, uint32_t tasks, placement::Urgency urgency)
{
    JobSpec spec;
    spec.id_ = *jobId(team, name);
    spec.team_ = team;
    spec.priority_ = { Tier::Paying, urgency };
    spec.command_ = "compute 1000";
    spec.taskCount_ = tasks;
    spec.resources_ = *Resources::create(100, 100'000'000, 0);
    return spec;
}

// One owner, a table in which each write takes `writeTime_`, and agents that accept every start at once.
class Bench {
public:
    explicit Bench(Duration writeTime)
        : writeTime_(writeTime)
        , owner_(Owner::create({ partition, Epoch(1), Sequence(1), 0, Duration(0) }, Ledger(), now_))
    {
        WorkersListed workers;
        for (int index = 0; index < 100; ++index)
            workers.workers_.push_back({ { WorkerName::of(concat("worker-", index)), RackName::of("rack"), FailureDomainName::of(concat("domain-", index % 5)) }, huge_ });
        deliver(workers);
        deliver(QuotasChanged { { { team, huge_ } } });
    }

    void submit(const JobSpec& spec)
    {
        if (spec.priority_.urgency_ == placement::Urgency::Urgent)
            urgentSubmitted_.emplace(spec.id_, now_);
        deliver(SubmitRequested { Ticket(++tickets_), spec });
    }

    void step(Duration time)
    {
        Instant end = now_ + time;
        while (!pending_.empty() && pending_.begin()->first <= end) {
            auto node = pending_.extract(pending_.begin());
            now_ = node.key();
            deliver(node.mapped());
        }
        now_ = end;
        deliver(TimePassed {});
    }

    // Reports all running tasks as finished, as agents would.
    void finishRunning()
    {
        std::map<WorkerName, hosting::RenewalAnswer> answers;
        for (const auto& [worker, key, attempt] : running_)
            answers[worker].events_.push_back({ Sequence(++events_), { taskId(key), attempt }, hosting::TaskFinished { 0, "" } });
        running_.clear();
        for (auto& [worker, answer] : answers)
            deliver(RenewalAnswered { worker, now_, 0, std::move(answer) });
    }

    const store::TableCounts& counts() const { return table_.counts(); }
    size_t starts() const { return starts_; }
    Duration slowestUrgent() const { return slowestUrgent_; }
    const Owner& owner() const { return owner_; }

private:
    void deliver(const OwnerMessage& message)
    {
        OwnerDecision decision = decide(std::move(owner_), message, { now_, 0 });
        owner_ = std::move(decision.state_);
        for (const OwnerAction& action : decision.actions_)
            perform(action);
    }

    void perform(const OwnerAction& action)
    {
        if (const auto* commit = std::get_if<CommitBatch>(&action)) {
            table_.apply(batchTransaction(partition, store::RowVersion(), *commit));
            pending_.emplace(now_ + writeTime_, JournalAnswered { BatchWritten { commit->batch_.sequence_ } });
        } else if (const auto* probe = std::get_if<ProbeWorkers>(&action)) {
            OffersCollected offers;
            for (const WorkerName& worker : probe->workers_)
                offers.offers_.push_back({ worker, FailureDomainName::of("domain-0"), RackName::of("rack"), { Incarnation(1), now_ }, huge_, huge_, 0, 0, true });
            pending_.emplace(now_ + roundTrip, std::move(offers));
        } else if (const auto* start = std::get_if<SendStart>(&action)) {
            ++starts_;
            auto urgent = urgentSubmitted_.find(start->task_.job_);
            if (urgent != urgentSubmitted_.end())
                slowestUrgent_ = std::max(slowestUrgent_, now_ - urgent->second);
            running_.emplace_back(start->worker_, start->task_, start->order_.attempt_);
            pending_.emplace(now_ + roundTrip, StartAnswered { start->task_, start->order_.attempt_, hosting::Started {} });
        }
    }

    static constexpr Duration roundTrip = std::chrono::milliseconds(5);
    const Resources huge_ = *Resources::create(1'000'000'000, 1'000'000'000'000'000, 0);
    Duration writeTime_;
    Instant now_ { Instant::fromMicroseconds(1'000'000) };
    Owner owner_;
    store::TableState table_;
    std::multimap<Instant, OwnerMessage> pending_;
    std::vector<std::tuple<WorkerName, TaskKey, Attempt>> running_;
    std::map<JobId, Instant> urgentSubmitted_;
    Duration slowestUrgent_ { 0 };
    size_t starts_ { 0 };
    uint64_t tickets_ { 0 };
    uint64_t events_ { 0 };
};

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void measureWrites(bool json, uint32_t rate, Duration writeTime)
{
    Bench bench(writeTime);
    constexpr int seconds = 20;
    double before = processorSeconds();
    for (int step = 0; step < seconds * 10; ++step) {
        uint32_t due = rate >= 10 ? rate / 10 : (step % 10 == 0 ? rate : 0);
        if (due > 0)
            bench.submit(makeJob(concat("job-", step), due, placement::Urgency::Normal));
        bench.step(std::chrono::milliseconds(100));
        bench.finishRunning();
    }
    double starts = static_cast<double>(std::max<size_t>(bench.starts(), 1));
    double writes = static_cast<double>(bench.counts().transactions_) * 1000 / starts;
    double bytes = static_cast<double>(bench.counts().bytesWritten_) * 1000 / starts;
    double microseconds = (processorSeconds() - before) * 1e6 / starts;
    long long milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(writeTime).count();
    std::printf(json ? "{\"measure\":\"writes\",\"rate\":%u,\"write_ms\":%lld,\"starts\":%.0f,\"writes_per_1000\":%.1f,\"bytes_per_1000\":%.0f,\"cpu_us_per_start\":%.1f}\n"
                     : "%8u starts/s, %3lld ms a write: %7.0f starts, %7.1f writes and %9.0f bytes per 1,000 starts, %6.1f us of CPU time a start\n",
        rate, milliseconds, starts, writes, bytes, microseconds);
}

void measureUrgent(bool json, Duration writeTime)
{
    Bench bench(writeTime);
    for (int step = 0; step < 300; ++step) {
        bench.submit(makeJob(concat("batch-", step), 390, placement::Urgency::Normal));
        if (step % 5 == 0)
            bench.submit(makeJob(concat("urgent-", step), 1, placement::Urgency::Urgent));
        bench.step(std::chrono::milliseconds(100));
        bench.finishRunning();
    }
    long long milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(writeTime).count();
    long long slowest = std::chrono::duration_cast<std::chrono::milliseconds>(bench.slowestUrgent()).count();
    std::printf(json ? "{\"measure\":\"urgent\",\"write_ms\":%lld,\"slowest_ms\":%lld}\n" : "urgent work beside 3,900 batch starts/s, %3lld ms a write: slowest start order after %lld ms\n",
        milliseconds, slowest);
}

size_t memoryInUse()
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void measureRecovery(bool json, uint32_t tasks)
{
    std::vector<Record> records { JobSubmitted { makeJob("live", tasks, placement::Urgency::Normal), 0 } };
    for (uint32_t index = 0; index < tasks; ++index) {
        placement::Site site { WorkerName::of(concat("worker-", index % 6300)), RackName::of(concat("rack-", index % 600)), FailureDomainName::of(concat("domain-", index % 15)) };
        records.emplace_back(TaskAssigned { { *jobId(team, "live"), index }, Attempt(1), site });
    }
    Ledger ledger = applyRecords(Ledger(), records).ledger_;
    std::string bytes = encodeSnapshot(ledger);
    size_t memoryBefore = memoryInUse();
    double before = processorSeconds();
    Ledger decoded = *decodeSnapshot(bytes);
    double milliseconds = (processorSeconds() - before) * 1e3;
    double memory = static_cast<double>(memoryInUse() - memoryBefore) / tasks;
    std::printf(json ? "{\"measure\":\"recovery\",\"tasks\":%u,\"bytes\":%zu,\"decode_ms\":%.1f,\"memory_bytes_per_task\":%.0f}\n"
                     : "%8u live tasks: snapshot of %9zu bytes, decoded in %8.1f ms, %5.0f bytes of memory a task\n",
        tasks, bytes.size(), milliseconds, memory);
}

} // namespace

int main(int argc, char** argv)
{
    bool json = argc > 1 && std::strcmp(argv[1], "--json") == 0;
    for (uint32_t rate : { 1U, 60U, 100U, 3900U }) {
        for (int milliseconds : { 20, 200 })
            measureWrites(json, rate, std::chrono::milliseconds(milliseconds));
    }
    measureUrgent(json, std::chrono::milliseconds(20));
    measureUrgent(json, std::chrono::milliseconds(200));
    for (uint32_t tasks : { 1000U, 10'000U, 100'000U })
        measureRecovery(json, tasks);
    return 0;
}
