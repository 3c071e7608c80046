#include "persimmondoor/store/WorkerState.h"

#include "persimmondoor/core/Text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace persimmondoor::store {

namespace {

    struct Command {
        bool slowsWithThrottle_ { false };
        bool fails_ { false };
        Duration work_ { 0 };
        int64_t usedPercent_ { 100 };
    };

} // namespace

static absl::StatusOr<Command> parseCommand(const std::string& text)
{
    std::vector<std::string> words = absl::StrSplit(text, ' ', absl::SkipEmpty());
    absl::Status malformed = absl::InvalidArgumentError(concat("command '", text, "': expected sleep N, compute N or fail [N], optionally followed by a percentage"));
    if (words.empty() || words.size() > 3 || (words[0] != "sleep" && words[0] != "compute" && words[0] != "fail"))
        return malformed;
    Command command { words[0] == "compute", words[0] == "fail" };
    int64_t milliseconds = 0;
    if (words.size() < 2 && !command.fails_)
        return malformed;
    if (words.size() > 1 && (!absl::SimpleAtoi(words[1], &milliseconds) || milliseconds < 0))
        return malformed;
    if (words.size() > 2 && (!absl::SimpleAtoi(words[2], &command.usedPercent_) || command.usedPercent_ < 0))
        return malformed;
    command.work_ = std::chrono::milliseconds(milliseconds);
    return command;
}

static std::string checkpointReference(const TaskAttempt& task, Duration done)
{
    return concat(task.task_.value(), "/", task.attempt_.value(), "@", done.count());
}

// Returns the work done according to a checkpoint reference, or InvalidArgument if it is malformed or of another task.
static absl::StatusOr<Duration> readCheckpoint(const TaskId& task, const std::string& reference)
{
    int64_t done = 0;
    size_t mark = reference.rfind('@');
    bool readable = mark != std::string::npos && absl::SimpleAtoi(reference.substr(mark + 1), &done) && done >= 0;
    if (!readable || !reference.starts_with(task.value() + "/"))
        return absl::InvalidArgumentError(concat("reference '", reference, "' is not a checkpoint of task ", task.value()));
    return Duration(done);
}

Duration WorkerState::Run::workDoneAt(Instant now) const
{
    auto elapsed = static_cast<double>((now - measuredAt_).count()) * (slowsWithThrottle_ ? throttle_ : 1.0);
    return std::clamp(workDone_ + Duration(static_cast<int64_t>(elapsed)), Duration(0), work_);
}

std::optional<Instant> WorkerState::Run::completesAt() const
{
    double speed = slowsWithThrottle_ ? throttle_ : 1.0;
    if (speed <= 0)
        return std::nullopt;
    return measuredAt_ + Duration(static_cast<int64_t>(static_cast<double>((work_ - workDone_).count()) / speed));
}

Instant WorkerState::Run::endsAt() const
{
    return std::min(completesAt().value_or(leaseUntil_), leaseUntil_);
}

LaunchOutcome WorkerState::launch(const Launch& launch, Instant now)
{
    advance(now);
    if (runs_.contains(launch.task_))
        return Launched {};
    auto command = parseCommand(launch.command_);
    if (!command.ok())
        return LaunchRefused { std::string(command.status().message()) };
    Run run;
    if (!launch.checkpoint_.empty()) {
        auto done = readCheckpoint(launch.task_.task_, launch.checkpoint_);
        if (!done.ok())
            return LaunchRefused { std::string(done.status().message()) };
        run.workDone_ = std::min(*done, command->work_);
    }
    run.report_ = { launch.task_, TaskState::Running, launch.resources_, launch.label_, "", 0, "", Duration(0) };
    run.work_ = command->work_;
    run.slowsWithThrottle_ = command->slowsWithThrottle_;
    run.fails_ = command->fails_;
    run.usedPercent_ = command->usedPercent_;
    run.measuredAt_ = run.startedAt_ = now;
    run.leaseUntil_ = now + launch.lease_;
    Run& stored = runs_.emplace(launch.task_, std::move(run)).first->second;
    markChanged(stored);
    if (failsEverything_) {
        stored.report_.result_ = "injected fault: the worker fails every task";
        finish(stored, TaskState::Failed, now);
    }
    return Launched {};
}

void WorkerState::extend(const std::vector<TaskAttempt>& tasks, Duration lease, Instant now)
{
    advance(now);
    for (const TaskAttempt& task : tasks) {
        if (Run* run = findRunning(task))
            run->leaseUntil_ = now + lease;
    }
}

absl::Status WorkerState::stop(const TaskAttempt& task, Instant now)
{
    advance(now);
    if (!runs_.contains(task))
        return absl::NotFoundError(concat("unknown attempt of task ", task.task_.value()));
    if (Run* run = findRunning(task))
        finish(*run, TaskState::Stopped, now);
    return absl::OkStatus();
}

absl::StatusOr<std::string> WorkerState::checkpoint(const TaskAttempt& task, Instant now)
{
    advance(now);
    Run* run = findRunning(task);
    if (!run)
        return absl::NotFoundError(concat("task ", task.task_.value(), " does not run in this attempt"));
    run->report_.checkpoint_ = checkpointReference(task, run->workDoneAt(now));
    markChanged(*run);
    return run->report_.checkpoint_;
}

absl::Status WorkerState::throttle(const TaskAttempt& task, double share, Instant now)
{
    advance(now);
    if (!(share >= 0 && share <= 1))
        return absl::InvalidArgumentError(concat("the throttle is ", share, "; expected 0 to 1"));
    Run* run = findRunning(task);
    if (!run)
        return absl::NotFoundError(concat("task ", task.task_.value(), " does not run in this attempt"));
    run->workDone_ = run->workDoneAt(now);
    run->measuredAt_ = now;
    run->throttle_ = share;
    return absl::OkStatus();
}

void WorkerState::forget(const std::vector<TaskAttempt>& tasks)
{
    for (const TaskAttempt& task : tasks) {
        auto found = runs_.find(task);
        if (found != runs_.end() && !found->second.runs())
            runs_.erase(found);
    }
}

void WorkerState::advance(Instant now)
{
    for (auto& [task, run] : runs_) {
        if (!run.runs() || now < run.endsAt())
            continue;
        Instant end = run.endsAt();
        bool done = run.completesAt().has_value() && *run.completesAt() <= end;
        if (done)
            run.report_.result_ = run.fails_ ? "the command fails" : concat("done by attempt ", task.attempt_.value());
        run.report_.exitCode_ = done && run.fails_ ? 1 : 0;
        TaskState state = run.fails_ ? TaskState::Failed : TaskState::Finished;
        finish(run, done ? state : TaskState::LeaseLapsed, end);
    }
}

WorkerReport WorkerState::report(WorkerRevision since, Instant now) const
{
    WorkerReport report { revision_, incarnation_, {} };
    for (const auto& [task, run] : runs_) {
        if (run.changeRevision_ <= since)
            continue;
        report.tasks_.push_back(run.report_);
        if (run.runs())
            report.tasks_.back().leaseLeft_ = run.leaseUntil_ - now;
    }
    return report;
}

static Resources scaled(const Resources& resources, int64_t percent)
{
    return *Resources::create(resources.milliCores() * percent / 100, resources.memoryBytes() / 100 * percent, resources.accelerators());
}

std::vector<TaskUsage> WorkerState::usage(Instant at) const
{
    std::vector<TaskUsage> usage;
    for (const auto& [task, run] : runs_) {
        if (run.startedAt_ > at || run.endedAt_.value_or(at + Duration(1)) <= at)
            continue;
        auto used = scaled(run.report_.resources_, static_cast<int64_t>(static_cast<double>(run.usedPercent_) * (run.slowsWithThrottle_ ? run.throttle_ : 1.0)));
        double progress = run.work_ > Duration(0) ? static_cast<double>(run.workDoneAt(at).count()) / static_cast<double>(run.work_.count()) : 1.0;
        usage.push_back({ task, used, run.throttle_, progress });
    }
    return usage;
}

std::optional<Instant> WorkerState::nextEnd() const
{
    std::optional<Instant> next;
    for (const auto& [task, run] : runs_) {
        if (run.runs())
            next = std::min(next.value_or(run.endsAt()), run.endsAt());
    }
    return next;
}

Resources WorkerState::committed() const
{
    Resources sum;
    for (const auto& [task, run] : runs_) {
        if (run.runs())
            sum = sum + run.report_.resources_;
    }
    return sum;
}

WorkerState::Run* WorkerState::findRunning(const TaskAttempt& task)
{
    auto found = runs_.find(task);
    return found != runs_.end() && found->second.runs() ? &found->second : nullptr;
}

void WorkerState::markChanged(Run& run)
{
    revision_ = revision_.next();
    run.changeRevision_ = revision_;
}

void WorkerState::finish(Run& run, TaskState state, Instant at)
{
    run.report_.state_ = state;
    run.endedAt_ = at;
    markChanged(run);
}

} // namespace persimmondoor::store
