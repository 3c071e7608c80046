#include "Codec.h"
#include "Wire.h"
#include "persimmondoor/core/Visitor.h"

namespace persimmondoor::jobs {

static void encode(const placement::Constraint& constraint, wire::Constraint::Builder wire)
{
    std::visit(Visitor {
                   [&](const placement::Unconstrained&) { wire.setUnconstrained(); },
                   [&](const placement::Spread& item) {
                       auto group = wire.initSpread();
                       group.setLevel(static_cast<uint16_t>(item.level_));
                       group.setMaximumPerGroup(item.maximumPerGroup_);
                   },
                   [&](const placement::Gang& item) { wire.initGang().setWithin(static_cast<uint16_t>(item.within_)); },
               },
        constraint);
}

static placement::Constraint readConstraint(wire::Constraint::Reader wire)
{
    if (wire.isSpread())
        return placement::Spread { enumerationOf(wire.getSpread().getLevel(), placement::GroupLevel::Cell), wire.getSpread().getMaximumPerGroup() };
    if (wire.isGang())
        return placement::Gang { enumerationOf(wire.getGang().getWithin(), placement::GroupLevel::Cell) };
    return placement::Unconstrained {};
}

void encode(const JobSpec& spec, wire::Spec::Builder wire)
{
    wire.setId(spec.id_.value());
    wire.setTeam(spec.team_.value());
    wire.setTrial(spec.priority_.tier_ == Tier::Trial);
    wire.setUrgent(spec.priority_.urgency_ == placement::Urgency::Urgent);
    wire.setCommand(spec.command_);
    wire.setTaskCount(spec.taskCount_);
    auto resources = wire.initResources();
    resources.setMilliCores(spec.resources_.milliCores());
    resources.setMemoryBytes(spec.resources_.memoryBytes());
    resources.setAccelerators(spec.resources_.accelerators());
    encode(spec.constraint_, wire.initConstraint());
    wire.setFailureBudget(spec.failureBudget_);
}

JobSpec readSpec(wire::Spec::Reader wire)
{
    JobSpec spec;
    spec.id_ = nameOf<JobId>(wire.getId());
    spec.team_ = nameOf<TeamName>(wire.getTeam());
    spec.priority_ = { wire.getTrial() ? Tier::Trial : Tier::Paying, wire.getUrgent() ? placement::Urgency::Urgent : placement::Urgency::Normal };
    spec.command_ = textOf(wire.getCommand());
    spec.taskCount_ = wire.getTaskCount();
    auto resources = Resources::create(wire.getResources().getMilliCores(), wire.getResources().getMemoryBytes(), wire.getResources().getAccelerators());
    KJ_REQUIRE(resources.ok(), "negative amount of resources");
    spec.resources_ = *resources;
    spec.constraint_ = readConstraint(wire.getConstraint());
    spec.failureBudget_ = wire.getFailureBudget();
    return spec;
}

absl::StatusOr<JobSpec> decode(wire::Spec::Reader wire)
{
    return checked([&] { return readSpec(wire); });
}

void encode(const JobsRequest& request, wire::Request::Builder wire)
{
    std::visit(Visitor {
                   [&](const SubmitJob& item) { encode(item.spec_, wire.initSubmit()); },
                   [&](const CancelJobs& item) {
                       auto list = wire.initCancel(static_cast<unsigned>(item.jobs_.size()));
                       for (unsigned index = 0; index < list.size(); ++index)
                           list.set(index, item.jobs_[index].value());
                   },
                   [&](const ListJobs& item) { wire.setList(item.team_); },
                   [&](const ShowJob& item) { wire.setShow(item.job_.value()); },
               },
        request);
}

static JobsRequest readRequest(wire::Request::Reader wire)
{
    switch (wire.which()) {
    case wire::Request::SUBMIT:
        return SubmitJob { readSpec(wire.getSubmit()) };
    case wire::Request::CANCEL: {
        CancelJobs cancel;
        for (auto id : wire.getCancel())
            cancel.jobs_.push_back(nameOf<JobId>(id));
        return cancel;
    }
    case wire::Request::LIST:
        return ListJobs { textOf(wire.getList()) };
    case wire::Request::SHOW:
        return ShowJob { nameOf<JobId>(wire.getShow()) };
    }
    KJ_FAIL_REQUIRE("unknown kind of request");
}

absl::StatusOr<JobsRequest> decode(wire::Request::Reader wire)
{
    return checked([&] { return readRequest(wire); });
}

static void encode(const JobSummary& summary, wire::Summary::Builder wire)
{
    wire.setId(summary.id_.value());
    wire.setTeam(summary.team_.value());
    wire.setTrial(summary.priority_.tier_ == Tier::Trial);
    wire.setUrgent(summary.priority_.urgency_ == placement::Urgency::Urgent);
    wire.setTaskCount(summary.taskCount_);
    wire.setCancelled(summary.isCancelled_);
    wire.setSubmittedAt(summary.submittedAt_);
    wire.setEndedAt(summary.endedAt_);
    auto phases = wire.initPhases(static_cast<unsigned>(summary.phases_.size()));
    for (unsigned index = 0; index < phases.size(); ++index) {
        phases[index].setPhase(summary.phases_[index].phase_);
        phases[index].setTasks(summary.phases_[index].tasks_);
    }
}

static JobSummary readSummary(wire::Summary::Reader wire)
{
    JobSummary summary { nameOf<JobId>(wire.getId()), nameOf<TeamName>(wire.getTeam()),
        { wire.getTrial() ? Tier::Trial : Tier::Paying, wire.getUrgent() ? placement::Urgency::Urgent : placement::Urgency::Normal },
        wire.getTaskCount(), wire.getCancelled(), wire.getSubmittedAt(), wire.getEndedAt(), {} };
    for (auto phase : wire.getPhases())
        summary.phases_.push_back({ textOf(phase.getPhase()), phase.getTasks() });
    return summary;
}

static void encode(const TaskView& view, wire::TaskView::Builder wire)
{
    wire.setIndex(view.index_);
    wire.setPhase(view.phase_);
    wire.setAttempt(view.attempt_.value());
    wire.setFailures(view.failures_);
    wire.setWorker(view.worker_);
    wire.setCheckpoint(view.checkpoint_);
    wire.setResult(view.result_);
    wire.setExplanation(view.explanation_);
}

static TaskView readView(wire::TaskView::Reader wire)
{
    return { wire.getIndex(), textOf(wire.getPhase()), Attempt(wire.getAttempt()), wire.getFailures(), textOf(wire.getWorker()), textOf(wire.getCheckpoint()),
        textOf(wire.getResult()), textOf(wire.getExplanation()) };
}

void encode(const JobsAnswer& answer, wire::Answer::Builder wire)
{
    std::visit(Visitor {
                   [&](const Accepted&) { wire.setAccepted(); },
                   [&](const IdTaken&) { wire.setIdTaken(); },
                   [&](const NoSuchJob& item) { wire.setNoSuchJob(item.job_.value()); },
                   [&](const NotAccepted& item) { wire.setNotAccepted(item.detail_); },
                   [&](const OutcomeUnknown&) { wire.setOutcomeUnknown(); },
                   [&](const NotOwner&) { wire.setNotOwner(); },
                   [&](const JobList& item) {
                       auto list = wire.initList(static_cast<unsigned>(item.jobs_.size()));
                       for (unsigned index = 0; index < list.size(); ++index)
                           encode(item.jobs_[index], list[index]);
                   },
                   [&](const JobDetails& item) {
                       auto group = wire.initDetails();
                       encode(item.summary_, group.initSummary());
                       group.setCommand(item.command_);
                       auto tasks = group.initTasks(static_cast<unsigned>(item.tasks_.size()));
                       for (unsigned index = 0; index < tasks.size(); ++index)
                           encode(item.tasks_[index], tasks[index]);
                   },
               },
        answer);
}

static JobsAnswer readAnswer(wire::Answer::Reader wire)
{
    switch (wire.which()) {
    case wire::Answer::ACCEPTED:
        return Accepted {};
    case wire::Answer::ID_TAKEN:
        return IdTaken {};
    case wire::Answer::NO_SUCH_JOB:
        return NoSuchJob { nameOf<JobId>(wire.getNoSuchJob()) };
    case wire::Answer::NOT_ACCEPTED:
        return NotAccepted { textOf(wire.getNotAccepted()) };
    case wire::Answer::OUTCOME_UNKNOWN:
        return OutcomeUnknown {};
    case wire::Answer::NOT_OWNER:
        return NotOwner {};
    case wire::Answer::LIST: {
        JobList list;
        for (auto summary : wire.getList())
            list.jobs_.push_back(readSummary(summary));
        return list;
    }
    case wire::Answer::DETAILS: {
        JobDetails details { readSummary(wire.getDetails().getSummary()), textOf(wire.getDetails().getCommand()), {} };
        for (auto view : wire.getDetails().getTasks())
            details.tasks_.push_back(readView(view));
        return details;
    }
    }
    KJ_FAIL_REQUIRE("unknown kind of answer");
}

JobsAnswer decode(wire::Answer::Reader wire)
{
    auto answer = checked([&] { return readAnswer(wire); });
    return answer.ok() ? *std::move(answer) : JobsAnswer(OutcomeUnknown {});
}

} // namespace persimmondoor::jobs
