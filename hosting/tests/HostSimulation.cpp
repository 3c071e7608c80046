#include "HostSimulation.h"

#include "persimmondoor/core/Visitor.h"

namespace persimmondoor::hosting {

static HostSettings settingsOf(const Resources& capacity, uint64_t incarnation)
{
    return { WorkerName::of("worker-01"), FailureDomainName::of("domain-a"), RackName::of("rack-a1"), capacity, Incarnation(incarnation), Duration(0) };
}

HostSimulation::HostSimulation(const Resources& capacity)
    : capacity_(capacity)
    , worker_(capacity, Incarnation(1))
    , host_(settingsOf(capacity, 1), Instant::fromMicroseconds(10'000'000))
{
}

void HostSimulation::deliver(const HostMessage& message)
{
    HostDecision decision = decide(host_, message, now_);
    host_ = std::move(decision.state_);
    for (const HostAction& action : decision.actions_)
        perform(action);
}

void HostSimulation::perform(const HostAction& action)
{
    std::visit(Visitor {
                   [&](const AnswerStart& answer) { startAnswers_.emplace(answer.call_, answer.outcome_); },
                   [&](const AnswerStop& answer) { stopAnswers_.emplace(answer.call_, answer.outcome_); },
                   [&](const AnswerRenewal& answer) { renewalAnswers_.emplace(answer.call_, answer.outcome_); },
                   [&](const auto& call) { calls_.emplace_back(call); },
               },
        action);
}

std::optional<StartOutcome> HostSimulation::start(const StartOrder& order)
{
    CallNumber call(++callCount_);
    deliver(StartRequested { order, call });
    auto answer = startAnswers_.find(call);
    return answer == startAnswers_.end() ? std::nullopt : std::optional(answer->second);
}

StopOutcome HostSimulation::stop(const StopOrder& order)
{
    CallNumber call(++callCount_);
    deliver(StopRequested { order, call });
    return stopAnswers_.at(call);
}

RenewalOutcome HostSimulation::renew(const Renewal& order)
{
    CallNumber call(++callCount_);
    deliver(RenewalRequested { order, call });
    return renewalAnswers_.at(call);
}

void HostSimulation::call(const HostAction& action, WorkerCallResult callResult)
{
    bool takesEffect = callResult != WorkerCallResult::Unavailable;
    std::visit(Visitor {
                   [&](const LaunchTask& launch) {
                       store::LaunchOutcome outcome = store::Unavailable {};
                       if (takesEffect)
                           outcome = worker_.launch(launch.launch_, now_);
                       deliver(LaunchAnswered { launch.launch_.task_, callResult == WorkerCallResult::ReplyLost ? store::ReplyLost {} : outcome });
                   },
                   [&](const CheckpointTask& checkpoint) {
                       std::optional<std::string> reference;
                       if (takesEffect) {
                           auto result = worker_.checkpoint(checkpoint.task_, now_);
                           reference = result.ok() && callResult == WorkerCallResult::Done ? std::optional(*result) : std::nullopt;
                       }
                       deliver(CheckpointAnswered { checkpoint.task_, reference });
                   },
                   [&](const StopTask& stop) {
                       StopAnswer answer = StopAnswer::Failed;
                       if (takesEffect) {
                           bool isKnown = worker_.stop(stop.task_, now_).ok();
                           if (callResult == WorkerCallResult::Done)
                               answer = isKnown ? StopAnswer::Done : StopAnswer::UnknownTask;
                       }
                       deliver(StopAnswered { stop.task_, answer });
                   },
                   [&](const ExtendTasks& extend) {
                       if (takesEffect)
                           worker_.extend(extend.tasks_, extend.lease_, now_);
                   },
                   [&](const ForgetTasks& forget) {
                       if (takesEffect)
                           worker_.forget(forget.tasks_);
                   },
                   [](const auto&) {},
               },
        action);
}

void HostSimulation::performNext(WorkerCallResult result)
{
    if (calls_.empty())
        return;
    HostAction action = std::move(calls_.front());
    calls_.pop_front();
    call(action, result);
}

void HostSimulation::performAll()
{
    while (!calls_.empty())
        performNext(WorkerCallResult::Done);
}

void HostSimulation::report()
{
    worker_.advance(now_);
    store::WorkerReport report = worker_.report(reportedRevision_, now_);
    reportedRevision_ = report.revision_;
    deliver(WorkerReported { std::move(report) });
}

void HostSimulation::advance(Duration time)
{
    now_ = now_ + time;
    worker_.advance(now_);
    deliver(TimePassed {});
}

void HostSimulation::restartAgent()
{
    calls_.clear();
    reportedRevision_ = store::WorkerRevision();
    host_ = Host(settingsOf(capacity_, ++incarnations_), now_);
}

void HostSimulation::restartWorker()
{
    worker_ = store::WorkerState(capacity_, Incarnation(++incarnations_));
    endedAttempts_.clear();
}

std::vector<TaskAttempt> HostSimulation::runningAtWorker()
{
    std::vector<TaskAttempt> running;
    for (const store::TaskReport& report : worker_.report(store::WorkerRevision(), now_).tasks_) {
        if (report.state_ == store::TaskState::Running)
            running.push_back(report.task_);
    }
    return running;
}

std::vector<HostEvent> HostSimulation::events(PartitionNumber partition)
{
    Renewal order = renewal(*this);
    order.partition_ = partition;
    order.lease_ = Duration(0);
    return std::get<RenewalAnswer>(renew(order)).events_;
}

std::vector<std::string> HostSimulation::violations()
{
    std::vector<std::string> found;
    if (!worker_.committed().fitsIn(capacity_))
        found.emplace_back("the worker's committed resources exceed its capacity");
    if (!host_.committed().fitsIn(capacity_))
        found.emplace_back("the ledger's committed resources exceed the capacity");
    Resources sum;
    for (const auto& [id, task] : host_.tasks())
        sum = sum + task.resources_;
    if (!(sum == host_.committed()))
        found.emplace_back("the ledger's committed resources are not the sum of its entries");
    std::set<TaskId> tasks;
    for (const store::TaskReport& report : worker_.report(store::WorkerRevision(), now_).tasks_) {
        if (report.state_ != store::TaskState::Running) {
            endedAttempts_.insert(report.task_);
            continue;
        }
        if (!tasks.insert(report.task_.task_).second)
            found.push_back("two attempts of " + report.task_.task_.value() + " run");
        if (endedAttempts_.contains(report.task_))
            found.push_back("an ended attempt of " + report.task_.task_.value() + " runs again");
    }
    return found;
}

StartOrder startOrder(const HostSimulation& simulation, const std::string& task, uint64_t attempt, int64_t milliCores, const std::string& command)
{
    return { TaskId::of(task), Attempt(attempt), PartitionNumber(7), Epoch(1), TeamName::of("lankacell"), Tier::Trial, *Resources::create(milliCores, 0, 0), command, "",
        simulation.stamp(), std::chrono::seconds(30) };
}

StopOrder stopOrder(const std::string& task, uint64_t attempt, StopKind kind)
{
    return { TaskId::of(task), Attempt(attempt), PartitionNumber(7), Epoch(1), kind };
}

Renewal renewal(const HostSimulation& simulation, Duration lease)
{
    return { PartitionNumber(7), Epoch(1), simulation.stamp(), lease, Sequence(), {}, 0 };
}

} // namespace persimmondoor::hosting
