#include "HostWorld.h"

#include "persimmondoor/core/Visitor.h"

namespace persimmondoor::hosting {

static HostSettings settingsOf(const Resources& capacity, uint64_t life)
{
    return { WorkerName::of("worker-01"), FailureDomainName::of("domain-a"), RackName::of("rack-a1"), capacity, Incarnation(life), Duration(0) };
}

HostWorld::HostWorld(const Resources& capacity)
    : capacity_(capacity)
    , worker_(capacity, Incarnation(1))
    , host_(settingsOf(capacity, 1), Instant::fromMicroseconds(10'000'000))
{
}

void HostWorld::tell(const HostMessage& message)
{
    HostDecision decision = decide(host_, message, now_);
    host_ = std::move(decision.state_);
    for (const HostAction& action : decision.actions_)
        perform(action);
}

void HostWorld::perform(const HostAction& action)
{
    std::visit(Visitor {
                   [&](const AnswerStart& answer) { startAnswers_.emplace(answer.call_, answer.outcome_); },
                   [&](const AnswerStop& answer) { stopAnswers_.emplace(answer.call_, answer.outcome_); },
                   [&](const AnswerRenewal& answer) { renewalAnswers_.emplace(answer.call_, answer.outcome_); },
                   [&](const auto& call) { calls_.emplace_back(call); },
               },
        action);
}

std::optional<StartOutcome> HostWorld::start(const StartOrder& order)
{
    CallNumber call(++callsMade_);
    tell(StartAsked { order, call });
    auto answer = startAnswers_.find(call);
    return answer == startAnswers_.end() ? std::nullopt : std::optional(answer->second);
}

StopOutcome HostWorld::stop(const StopOrder& order)
{
    CallNumber call(++callsMade_);
    tell(StopAsked { order, call });
    return stopAnswers_.at(call);
}

RenewalOutcome HostWorld::renew(const Renewal& order)
{
    CallNumber call(++callsMade_);
    tell(RenewalAsked { order, call });
    return renewalAnswers_.at(call);
}

void HostWorld::call(const HostAction& action, WorkerCallFate fate)
{
    bool done = fate != WorkerCallFate::Unavailable;
    std::visit(Visitor {
                   [&](const LaunchTask& launch) {
                       store::LaunchOutcome outcome = store::Unavailable {};
                       if (done)
                           outcome = worker_.launch(launch.launch_, now_);
                       tell(LaunchEnded { launch.launch_.task_, fate == WorkerCallFate::ReplyLost ? store::ReplyLost {} : outcome });
                   },
                   [&](const CheckpointTask& checkpoint) {
                       std::optional<std::string> reference;
                       if (done) {
                           auto result = worker_.checkpoint(checkpoint.task_, now_);
                           reference = result.ok() && fate == WorkerCallFate::Done ? std::optional(*result) : std::nullopt;
                       }
                       tell(CheckpointEnded { checkpoint.task_, reference });
                   },
                   [&](const StopTask& stop) {
                       StopAnswer answer = StopAnswer::Failed;
                       if (done) {
                           bool known = worker_.stop(stop.task_, now_).ok();
                           if (fate == WorkerCallFate::Done)
                               answer = known ? StopAnswer::Done : StopAnswer::UnknownTask;
                       }
                       tell(StopEnded { stop.task_, answer });
                   },
                   [&](const ExtendTasks& extend) {
                       if (done)
                           worker_.extend(extend.tasks_, extend.lease_, now_);
                   },
                   [&](const ForgetTasks& forget) {
                       if (done)
                           worker_.forget(forget.tasks_);
                   },
                   [](const auto&) {},
               },
        action);
}

void HostWorld::performNext(WorkerCallFate fate)
{
    if (calls_.empty())
        return;
    HostAction action = std::move(calls_.front());
    calls_.pop_front();
    call(action, fate);
}

void HostWorld::performAll()
{
    while (!calls_.empty())
        performNext(WorkerCallFate::Done);
}

void HostWorld::report()
{
    worker_.advance(now_);
    store::WorkerReport report = worker_.report(reported_, now_);
    reported_ = report.revision_;
    tell(Reported { std::move(report) });
}

void HostWorld::pass(Duration time)
{
    now_ = now_ + time;
    worker_.advance(now_);
    tell(TimePassed {});
}

void HostWorld::restartAgent()
{
    calls_.clear();
    reported_ = store::WorkerRevision();
    host_ = Host(settingsOf(capacity_, ++lives_), now_);
}

void HostWorld::restartWorker()
{
    worker_ = store::WorkerState(capacity_, Incarnation(++lives_));
    ended_.clear();
}

std::vector<TaskAttempt> HostWorld::runningAtWorker()
{
    std::vector<TaskAttempt> running;
    for (const store::TaskReport& report : worker_.report(store::WorkerRevision(), now_).tasks_) {
        if (report.state_ == store::TaskState::Running)
            running.push_back(report.task_);
    }
    return running;
}

std::vector<HostEvent> HostWorld::events(PartitionNumber partition)
{
    Renewal order = renewal(*this);
    order.partition_ = partition;
    order.lease_ = Duration(0);
    return std::get<RenewalAnswer>(renew(order)).events_;
}

std::vector<std::string> HostWorld::broken()
{
    std::vector<std::string> found;
    if (!worker_.committed().fitsIn(capacity_))
        found.emplace_back("the worker is committed beyond its capacity");
    if (!host_.committed().fitsIn(capacity_))
        found.emplace_back("the ledger is beyond the capacity");
    Resources sum;
    for (const auto& [id, task] : host_.tasks())
        sum = sum + task.resources_;
    if (!(sum == host_.committed()))
        found.emplace_back("the ledger's sum is not that of its entries");
    std::set<TaskId> tasks;
    for (const store::TaskReport& report : worker_.report(store::WorkerRevision(), now_).tasks_) {
        if (report.state_ != store::TaskState::Running) {
            ended_.insert(report.task_);
            continue;
        }
        if (!tasks.insert(report.task_.task_).second)
            found.push_back("two attempts of " + report.task_.task_.value() + " run");
        if (ended_.contains(report.task_))
            found.push_back("an ended attempt of " + report.task_.task_.value() + " runs again");
    }
    return found;
}

StartOrder startOrder(const HostWorld& world, const std::string& task, uint64_t attempt, int64_t milliCores, const std::string& command)
{
    return { TaskId::of(task), Attempt(attempt), PartitionNumber(7), Epoch(1), TeamName::of("lankacell"), Tier::Trial, *Resources::create(milliCores, 0, 0), command, "",
        world.stamp(), std::chrono::seconds(30) };
}

StopOrder stopOrder(const std::string& task, uint64_t attempt, StopKind kind)
{
    return { TaskId::of(task), Attempt(attempt), PartitionNumber(7), Epoch(1), kind };
}

Renewal renewal(const HostWorld& world, Duration lease)
{
    return { PartitionNumber(7), Epoch(1), world.stamp(), lease, Sequence(), {}, 0 };
}

} // namespace persimmondoor::hosting
