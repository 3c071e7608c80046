// Fixture for tests of the leader's decisions: a leader state whose store is simulated by the test.
#pragma once

#include "persimmondoor/workflow/Leader.h"

#include <boost/test/unit_test.hpp>

namespace persimmondoor::workflow {

inline Instant at(int64_t milliseconds)
{
    // Far from zero, which means "never" in the state.
    return Instant::fromMicroseconds((1'000'000 + milliseconds) * 1000);
}

class LeaderWorld {
public:
    explicit LeaderWorld(std::vector<StoredJob> rows = {}, uint64_t epoch = 1, LeaseBounds bounds = boundsWithoutRecord({}, Tuning().grantPeriodWithoutBound_, at(0)))
        : state_(restoreState(LeaderEpoch(epoch), {}, std::move(rows), bounds, at(0)))
    {
        state_.lastDurableWriteAt_ = at(0);
        state_.leasesEndBy_ = at(0) + Tuning().fullLeasePeriod_ + Tuning().taskLease_;
        Catalog catalog { 3, { { "tests", "h.example", "/tests/", "packs", 0, 2, 1.5, std::chrono::milliseconds(250), std::chrono::seconds(3) } }, { { "packs", true, false } } };
        handle(CatalogChanged { catalog }, 0);
    }

    template <typename Message>
    void handle(Message message, int64_t milliseconds)
    {
        LeaderMessage wrapped = std::move(message);
        Decision decision = decide(std::move(state_), wrapped, at(milliseconds));
        state_ = std::move(decision.state_);
        for (LeaderAction& action : decision.actions_) {
            if (auto* answer = std::get_if<AnswerClient>(&action))
                answers_[answer->token_.value()] = answer->answer_;
            if (auto* logEvent = std::get_if<LogEvent>(&action))
                logEvents_.push_back(std::move(*logEvent));
        }
    }

    // Writes the oldest staged jobs and notifies the leader that the batch is durable.
    void commit(int64_t milliseconds)
    {
        Batch batch = extractBatch(state_);
        storedBounds_ = { leaseBoundAfterWrite(state_.tuning_, at(milliseconds)), batch.silentWorkers_ };
        for (const Batch::Item& item : batch.items_) {
            auto progress = progressOf(state_, item.job_);
            if (!progress) {
                rows_.erase(item.job_);
                continue;
            }
            rows_[item.job_] = { state_.jobs_.at(item.job_).record_, *progress };
        }
        handle(BatchDurable { std::move(batch), at(milliseconds) }, milliseconds);
    }

    std::vector<StoredJob> rows() const
    {
        std::vector<StoredJob> rows;
        for (const auto& [id, row] : rows_)
            rows.push_back(row);
        return rows;
    }

    // Makes a client's call.
    // \return the token under which `answer` finds its answer.
    uint64_t call(ClientVerb verb, int64_t milliseconds, const std::string& id = "00000000000000aa")
    {
        handle(CallArrived { CallToken(++token_), { "h.example", "/tests/" + id, std::move(verb), std::chrono::seconds(3) }, 1'000'000 + milliseconds }, milliseconds);
        return token_;
    }
    uint64_t submit(std::vector<Step> steps, int64_t milliseconds, const std::string& id = "00000000000000aa")
    {
        return call(Submit { *JobSpec::create("spec", std::move(steps), {}) }, milliseconds, id);
    }
    std::string answer(uint64_t token) const
    {
        auto found = answers_.find(token);
        return found == answers_.end() ? "none" : describe(found->second);
    }

    // Reports one worker, by an agent with the worker's name. If the report begins a session, it is repeated under the new
    // fence.
    void report(const std::string& worker, int64_t milliseconds, std::vector<ActiveRun> active = {}, std::vector<EndedRun> ended = {})
    {
        reportBy(worker, 7, worker, milliseconds, std::move(active), std::move(ended));
    }

    // As `report`, with the agent's name and session.
    void reportBy(const std::string& agent, uint64_t session, const std::string& worker, int64_t milliseconds, std::vector<ActiveRun> active = {}, std::vector<EndedRun> ended = {})
    {
        WorkerReport lists { { worker, bornMs_, host_ }, { "packs", domain_, { "a", rack_ }, capacity_ }, draining_, 0, true, reachable_, readingNumber_, std::move(active), std::move(ended), refused_, hasAllEnds_ };
        AgentReport report { agent, domain_, session, state_.epoch_, fenceOf(agent), Sequence(++sequence_), lastCompletedOrder_, { lists }, endedWorkers_, true, crashedRuns_, completedOrders_, unconfirmedStarts_ };
        handle(ReportArrived { report }, milliseconds);
        if (report.fence_ == fenceOf(agent))
            return;
        reply(agent, milliseconds);
        report.fence_ = fenceOf(agent);
        report.sequence_ = Sequence(++sequence_);
        handle(ReportArrived { std::move(report) }, milliseconds);
    }

    std::vector<Order> reply(const std::string& worker, int64_t milliseconds) { return makeReportReply(state_, worker, at(milliseconds)).orders_; }

    // The runs that the next reply to the worker's agent orders to start.
    std::vector<RunKey> starts(const std::string& worker, int64_t milliseconds)
    {
        std::vector<RunKey> runs;
        for (const Order& order : reply(worker, milliseconds)) {
            if (const auto* start = std::get_if<StartRun>(&order))
                runs.push_back(start->run_);
        }
        return runs;
    }

    // Details of the logged events of that name, oldest first.
    std::vector<std::string> logged(const std::string& event) const
    {
        std::vector<std::string> details;
        for (const LogEvent& logEvent : logEvents_) {
            if (logEvent.event_ == event)
                details.push_back(logEvent.detail_);
        }
        return details;
    }

    Fence fenceOf(const std::string& agent) const
    {
        auto found = state_.agents_.find(agent);
        return found == state_.agents_.end() ? Fence() : found->second.fence_;
    }

    LeaderState state_;
    // Bounds on the leases that the last commit has stored.
    LeaseBounds storedBounds_;
    std::string domain_ { "north" };
    std::string rack_ { "r1" };
    // Start time and host of the reported workers.
    int64_t bornMs_ { 1000 };
    std::string host_;
    Resources capacity_ { *Resources::create(4000, 1'000'000, 0) };
    bool draining_ { false };
    bool reachable_ { true };
    // Whether the next reports list all ends.
    bool hasAllEnds_ { true };
    // Refused starts in the next reports.
    std::vector<RefusedStart> refused_;
    // Number of the load reading in the next report.
    uint64_t readingNumber_ { 0 };
    OrderNumber lastCompletedOrder_;
    std::set<OrderNumber> completedOrders_;
    std::vector<WorkerIncarnation> endedWorkers_;
    std::vector<RunKey> crashedRuns_;
    std::set<RunKey> unconfirmedStarts_;

private:
    std::map<JobId, StoredJob> rows_;
    std::map<uint64_t, ClientAnswer> answers_;
    std::vector<LogEvent> logEvents_;
    uint64_t token_ { 0 };
    uint64_t sequence_ { 0 };
};

inline Step stepOfTasks(uint32_t count, std::vector<uint32_t> after = {})
{
    Step step;
    step.count_ = count;
    step.demand_ = *Resources::create(1000, 1000, 0);
    step.estimate_ = std::chrono::milliseconds(800);
    step.dependencies_ = std::move(after);
    return step;
}

} // namespace persimmondoor::workflow
