// Fixture for tests of a leader with a fleet whose workers crash, by themselves or under a task, in steps of simulated time.
#pragma once

#include "LeaderWorld.h"
#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <memory>

namespace persimmondoor::workflow {

class FleetWorld {
public:
    explicit FleetWorld(size_t workers)
        : leader_(std::make_unique<LeaderWorld>())
    {
        for (size_t number = 0; number < workers; ++number)
            workers_.push_back({ concat("w-", 100 + number), 1000 });
        step();
    }

    // Submits a job of one long-running task.
    // \param crashAfterMs age of each of its runs at which the task crashes the worker; 0 for never.
    std::string submit(int64_t crashAfterMs)
    {
        std::string number = std::to_string(100 + jobs_.size());
        std::string id = concat("0000000000000", number);
        Step step = stepOfTasks(1);
        step.longRunning_ = true;
        step.image_ = "search";
        leader_->submit({ step }, now_, id);
        jobs_[id] = { crashAfterMs };
        return id;
    }

    // Lets 100 ms pass.
    void step()
    {
        now_ += stepMs;
        leader_->handle(Tick { now_ }, now_);
        leader_->commit(now_);
        for (FleetWorker& worker : workers_) {
            worker.reading_ += now_ % (3 * stepMs) == 0 && worker.downUntil_ == 0 ? 1 : 0;
            if (worker.downUntil_ == 0 && isCrashDue(worker))
                crash(worker);
            if (worker.downUntil_ != 0 && now_ >= worker.downUntil_)
                comeBack(worker);
            report(worker);
            carryOut(worker);
            // An agent reports a completed start at once.
            report(worker);
        }
        // The leader forgets failed jobs some time later.
        for (auto& [id, job] : jobs_) {
            auto known = leader_->state_.jobs_.find(JobId::of(id));
            job.hasFailed_ = job.hasFailed_ || (known != leader_->state_.jobs_.end() && known->second.hasFailed_);
        }
    }

    void pass(int64_t milliseconds)
    {
        for (int64_t end = now_ + milliseconds; now_ < end;)
            step();
    }

    // Crashes workers that are up.
    // \param chosen the numbers of the workers.
    void crashTogether(const std::vector<size_t>& chosen)
    {
        for (size_t number : chosen) {
            if (workers_[number].downUntil_ == 0)
                crash(workers_[number]);
        }
    }

    void changeLeader()
    {
        std::vector<StoredJob> rows = leader_->rows();
        for (StoredJob& row : rows)
            row.progress_ = *decodeProgress(encodeProgress(row.progress_));
        leader_ = std::make_unique<LeaderWorld>(std::move(rows), ++epoch_);
        for (FleetWorker& worker : workers_)
            worker.completed_ = OrderNumber();
    }

    void restartAgents()
    {
        for (FleetWorker& worker : workers_) {
            ++worker.session_;
            worker.completed_ = OrderNumber();
            worker.gone_.clear();
            worker.crashed_.clear();
            if (worker.downUntil_ != 0)
                worker.isForgotten_ = true;
        }
    }

    bool hasFailed(const std::string& job) const { return jobs_.at(job).hasFailed_; }
    size_t crashesOf(const std::string& job) const { return jobs_.at(job).crashes_; }
    size_t startsAfterThirdCrash(const std::string& job) const { return jobs_.at(job).startsAfterThirdCrash_; }
    size_t workers() const { return workers_.size(); }

private:
    static constexpr int64_t stepMs = 100;
    static constexpr int64_t downMs = 2500;
    // The agent's own bound; see SupervisorTuning::crashWindow_.
    static constexpr int64_t justStartedMs = 100;

    struct FleetWorker {
        std::string name_;
        int64_t bornMs_ { 0 };
        // Runs with the time of their start.
        std::map<RunKey, int64_t> runs_ {};
        std::vector<EndedRun> ended_ {};
        // Non-zero while the worker is down.
        int64_t downUntil_ { 0 };
        OrderNumber completed_ {};
        uint64_t reading_ { 0 };
        uint64_t session_ { 7 };
        std::vector<WorkerIncarnation> gone_ {};
        std::vector<RunKey> crashed_ {};
        // The agent restarted while the worker was down.
        bool isForgotten_ { false };
    };

    struct FleetJob {
        int64_t crashAfterMs_ { 0 };
        bool hasFailed_ { false };
        size_t crashes_ { 0 };
        size_t startsAfterThirdCrash_ { 0 };
    };

    bool isCrashDue(const FleetWorker& worker)
    {
        bool isDue = false;
        for (const auto& [run, startedAt] : worker.runs_) {
            FleetJob& job = jobs_.at(run.task_.job_.value());
            if (job.crashAfterMs_ == 0 || now_ - startedAt < job.crashAfterMs_)
                continue;
            ++job.crashes_;
            isDue = true;
        }
        return isDue;
    }

    void crash(FleetWorker& worker)
    {
        worker.downUntil_ = now_ + downMs;
        worker.crashed_.clear();
        for (const auto& [run, startedAt] : worker.runs_) {
            if (now_ - startedAt <= justStartedMs)
                worker.crashed_.push_back(run);
        }
    }

    void comeBack(FleetWorker& worker)
    {
        if (!worker.isForgotten_)
            worker.gone_ = { { worker.name_, worker.bornMs_, "" } };
        worker.bornMs_ = 1000 + now_;
        worker.downUntil_ = 0;
        worker.isForgotten_ = false;
        worker.runs_.clear();
        worker.ended_.clear();
    }

    void report(FleetWorker& worker)
    {
        if (worker.isForgotten_)
            return;
        std::vector<ActiveRun> active;
        for (const auto& [run, startedAt] : worker.runs_)
            active.push_back({ run, "", 100, 0, 100 });
        leader_->bornMs_ = worker.bornMs_;
        leader_->reachable_ = worker.downUntil_ == 0;
        leader_->readingNumber_ = worker.reading_;
        leader_->lastCompletedOrder_ = worker.completed_;
        leader_->endedWorkers_ = worker.gone_;
        leader_->crashedRuns_ = worker.gone_.empty() ? std::vector<RunKey>() : worker.crashed_;
        leader_->reportBy(worker.name_, worker.session_, worker.name_, now_, std::move(active), worker.ended_);
    }

    void carryOut(FleetWorker& worker)
    {
        if (worker.downUntil_ != 0)
            return;
        for (const Order& order : leader_->reply(worker.name_, now_)) {
            if (numberOf(order) <= worker.completed_)
                continue;
            worker.completed_ = numberOf(order);
            if (const auto* start = std::get_if<StartRun>(&order))
                begin(worker, start->run_);
            else if (worker.runs_.erase(std::get<StopRun>(order).run_) > 0)
                worker.ended_.push_back({ ++ends_, std::get<StopRun>(order).run_, RunEnd::Stopped, "" });
        }
    }

    void begin(FleetWorker& worker, const RunKey& run)
    {
        worker.runs_[run] = now_;
        FleetJob& job = jobs_.at(run.task_.job_.value());
        job.startsAfterThirdCrash_ += job.crashes_ >= 3 ? 1 : 0;
    }

    std::unique_ptr<LeaderWorld> leader_;
    uint64_t epoch_ { 1 };
    int64_t now_ { 0 };
    uint64_t ends_ { 0 };
    std::vector<FleetWorker> workers_;
    std::map<std::string, FleetJob> jobs_;
};

} // namespace persimmondoor::workflow
