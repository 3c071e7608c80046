#include "SupervisorRules.h"

#include <algorithm>

namespace persimmondoor::supervision {

using workflow::WorkerLife;

static workflow::WorkerReport reportOf(const SupervisorState& state, const WorkerLife& life, const LocalWorker& worker, Instant now)
{
    workflow::WorkerReport report;
    report.life_ = life;
    report.traits_ = worker.traits_;
    report.draining_ = worker.draining_;
    report.remainingMs_ = std::max<int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(worker.leavesAt_ - now).count());
    report.listed_ = worker.listed_ && state.fence_ != workflow::Fence();
    report.readings_ = worker.readings_;
    for (const auto& [run, active] : worker.active_)
        report.active_.push_back(active);
    for (const auto& [run, time] : worker.confirmed_) {
        if (worker.active_.count(run) == 0)
            report.active_.push_back({ run, "", 0, 0, 0 });
    }
    report.ended_ = worker.ended_;
    report.refused_ = worker.refused_;
    return report;
}

static void sendReport(const Turn& turn)
{
    SupervisorState& state = turn.state_;
    state.sequence_ = state.sequence_.next();
    state.sent_[state.sequence_] = turn.now_;
    state.hasNews_ = false;
    ++state.reports_;
    workflow::AgentReport report { state.name_, state.domain_, state.session_, state.epoch_, state.fence_, state.sequence_, state.settled_, {}, {}, true };
    for (auto& [life, worker] : state.workers_) {
        report.workers_.push_back(reportOf(state, life, worker, turn.now_));
        worker.refused_.clear();
    }
    for (const auto& [life, time] : state.gone_)
        report.gone_.push_back(life);
    turn.act(SendReport { std::move(report) });
}

void reportIfDue(const Turn& turn)
{
    SupervisorState& state = turn.state_;
    bool due = state.reports_ == 0 || (state.hasNews_ && state.reports_ < state.tuning_.maximumReports_);
    if (due && turn.now_ >= state.reportAgainAt_)
        sendReport(turn);
}

} // namespace persimmondoor::supervision
