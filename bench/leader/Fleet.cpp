#include "Fleet.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/workflow/Record.h"

#include <algorithm>

namespace persimmondoor::workflow {

static constexpr uint32_t longRunningImages = 16;
static constexpr uint32_t fillingImages = 30;
static constexpr int64_t workerMilliCores = 64'000;
static constexpr int64_t workerBytes = 256'000'000'000;

static constexpr uint32_t firstWorker = 1'000'000;

static std::string workerName(uint32_t worker)
{
    return concat("i-", firstWorker + worker);
}

static std::string jobName(uint64_t number)
{
    std::string digits = concat(number);
    return std::string(16 - digits.size(), '0') + digits;
}

Fleet::Fleet(uint32_t workers)
    : state_(restoreState(LeaderEpoch(1), {}, {}, {}, now_))
    , workers_(workers)
{
    state_.lastDurableWriteAt_ = now_ + std::chrono::hours(1);
    state_.leasesEndBy_ = now_ + std::chrono::hours(1);
    handle(CatalogChanged { { 1, { { "queue", "h.example", "/q/", "service", 0, 3, 1.5, std::chrono::milliseconds(300), std::chrono::seconds(3) } }, { { "service", true, false } } } });
    for (uint32_t longRunning = 0; longRunning < longRunningImages; ++longRunning) {
        Sensitivity& sensitivity = state_.interference_.sensitivities_[concat("serving-image-", longRunning)];
        sensitivity.unloadedMs_ = 4;
        for (uint32_t filling = 0; filling < fillingImages; ++filling)
            sensitivity.factors_[concat("filling-image-", filling)] = (longRunning * 7 + filling * 5) % 3 == 0 ? 0.8 : 0.05;
    }
    reportAll();
    for (uint32_t job = 0; job < workers_ * 2 / 24; ++job) {
        Step step;
        step.count_ = 24;
        step.demand_ = *Resources::create(13'000, 26'000'000'000, 0);
        step.longRunning_ = true;
        step.targetTailMs_ = 18;
        step.image_ = concat("serving-image-", job % longRunningImages);
        submit(std::move(step));
    }
    commitAll();
    reportAll();
    reportAll();
}

void Fleet::handle(LeaderMessage message)
{
    Decision decision = decide(std::move(state_), message, now_);
    state_ = std::move(decision.state_);
}

void Fleet::submit(Step step)
{
    std::string id = jobName(++jobs_);
    handle(CallArrived { CallToken(jobs_), { "h.example", "/q/" + id, Submit { *JobSpec::create("spec", { std::move(step) }, {}) }, std::chrono::seconds(3) }, 1'000'000 });
}

void Fleet::submitWeightless(uint32_t tasks)
{
    Step step;
    step.count_ = tasks;
    step.estimate_ = std::chrono::seconds(5);
    submit(std::move(step));
}

void Fleet::cancelLast()
{
    handle(CallArrived { CallToken(jobs_ + 1), { "h.example", "/q/" + jobName(jobs_), Cancel {}, std::chrono::seconds(3) }, 1'000'000 });
}

void Fleet::takeOver()
{
    std::vector<StoredJob> rows;
    for (const auto& [id, job] : state_.jobs_)
        rows.push_back({ job.record_, *progressOf(state_, id) });
    Catalog catalog = state_.catalog_;
    state_ = restoreState(state_.epoch_.next(), {}, std::move(rows), {}, now_);
    state_.lastDurableWriteAt_ = now_ + std::chrono::hours(1);
    state_.leasesEndBy_ = now_ + std::chrono::hours(1);
    handle(CatalogChanged { std::move(catalog) });
    completed_.clear();
    reportAll();
}

void Fleet::submitFilling(uint32_t tasks, int64_t milliCores, int64_t memoryBytes)
{
    Step step;
    step.count_ = tasks;
    step.demand_ = *Resources::create(milliCores, memoryBytes, 0);
    step.estimate_ = std::chrono::milliseconds(1700);
    step.isFilling_ = true;
    step.savesProgress_ = true;
    step.image_ = concat("filling-image-", jobs_ % fillingImages);
    submit(std::move(step));
}

void Fleet::submitData(uint32_t tasks, int64_t milliCores, const std::string& rack)
{
    Step step;
    step.count_ = tasks;
    step.demand_ = *Resources::create(milliCores, 1'000'000'000, 0);
    step.estimate_ = std::chrono::seconds(5);
    step.dataRack_ = rack;
    submit(std::move(step));
}

void Fleet::submitShort(uint32_t tasks, int64_t milliCores)
{
    submitData(tasks, milliCores, "");
}

void Fleet::learnRunTimes()
{
    for (int run = 0; run < 20; ++run)
        state_.admission_.runTimes_ = observeRun(std::move(state_.admission_.runTimes_), "queue", std::chrono::seconds(5), std::chrono::seconds(5));
}

uint64_t Fleet::commitAll()
{
    uint64_t bytes = 0;
    while (!state_.stagedOrder_.empty()) {
        Batch batch = extractBatch(state_);
        for (const Batch::Item& item : batch.items_) {
            if (std::optional<Progress> progress = progressOf(state_, item.job_))
                bytes += encodeProgress(*progress).size();
        }
        handle(BatchDurable { std::move(batch), now_ });
    }
    return bytes;
}

uint32_t Fleet::startTask()
{
    submitFilling(1, 1000);
    commitAll();
    JobId job = JobId::of(jobName(jobs_));
    std::string agent = state_.jobs_.at(job).tasks_.front().progress_.worker_.name_;
    for (const Order& order : makeReportReply(state_, agent, now_).orders_)
        takeOrder(agent, order);
    return static_cast<uint32_t>(std::stoul(agent.substr(2)) - firstWorker);
}

uint64_t Fleet::endRun(uint32_t worker)
{
    std::string name = workerName(worker);
    auto& active = active_[name];
    auto filling = std::find_if(active.begin(), active.end(), [&](const auto& run) { return run.second; });
    if (filling == active.end())
        return 0;
    RunKey run = filling->first;
    active.erase(filling);
    AgentReport report = reportOf(worker);
    report.workers_.front().ended_.push_back({ 1, run, RunEnd::Done, "" });
    handle(ReportArrived { std::move(report) });
    return commitAll();
}

ReportReply Fleet::replyTo(uint32_t worker)
{
    return makeReportReply(state_, workerName(worker), now_);
}

AgentReport Fleet::reportOf(uint32_t worker)
{
    std::string name = workerName(worker);
    auto agent = state_.agents_.find(name);
    WorkerReport lists { { name, 1000, name }, { "service", concat("zone-", worker % 6), { "a", concat("r", worker / 12) }, *Resources::create(workerMilliCores, workerBytes, 0) }, false, 0, true, true, reading_, {}, {}, {} };
    uint32_t load = 6 + static_cast<uint32_t>((worker * 31 + reading_ * 17) % 9);
    for (const auto& [run, isFilling] : active_[name])
        lists.active_.push_back({ run, "", 100, isFilling ? 5000 + 100 * load : load, 100 });
    Fence fence = agent == state_.agents_.end() ? Fence() : agent->second.fence_;
    return { name, concat("zone-", worker % 6), 1, state_.epoch_, fence, Sequence(++sequence_), completed_[name], { std::move(lists) }, {}, true, {} };
}

void Fleet::takeOrder(const std::string& agent, const Order& order)
{
    if (const auto* start = std::get_if<StartRun>(&order))
        active_[agent][start->run_] = state_.jobs_.at(start->run_.task_.job_).record_.spec_.steps()[0].isFilling_;
    completed_[agent] = numberOf(order);
}

void Fleet::report(uint32_t worker)
{
    std::string name = workerName(worker);
    handle(ReportArrived { reportOf(worker) });
    for (const Order& order : makeReportReply(state_, name, now_).orders_)
        takeOrder(name, order);
}

void Fleet::reportAll()
{
    ++reading_;
    for (uint32_t worker = 0; worker < workers_; ++worker)
        report(worker);
}

void Fleet::tick()
{
    handle(Tick { 1'000'000 });
}

uint64_t Fleet::assignedTasks() const
{
    uint64_t count = 0;
    for (const auto& [incarnation, worker] : state_.workers_)
        count += worker.assignedTasks_.size();
    return count;
}

} // namespace persimmondoor::workflow
