#include "Codec.h"

#include "persimmondoor/core/Visitor.h"

namespace persimmondoor::hosting {

static void encode(const Resources& resources, wire::Resources::Builder wire)
{
    wire.setMilliCores(resources.milliCores());
    wire.setMemoryBytes(resources.memoryBytes());
    wire.setAccelerators(resources.accelerators());
}

static absl::StatusOr<Resources> decode(wire::Resources::Reader wire)
{
    return Resources::create(wire.getMilliCores(), wire.getMemoryBytes(), wire.getAccelerators());
}

static void encode(const Stamp& stamp, wire::Stamp::Builder wire)
{
    wire.setIncarnation(stamp.incarnation_.value());
    wire.setIssuedAt(stamp.issuedAt_.microseconds());
}

static Stamp decode(wire::Stamp::Reader wire)
{
    return { Incarnation(wire.getIncarnation()), Instant::fromMicroseconds(wire.getIssuedAt()) };
}

static void encode(const TaskAttempt& task, wire::TaskAttempt::Builder wire)
{
    wire.setTask(task.task_.value());
    wire.setAttempt(task.attempt_.value());
}

static absl::StatusOr<TaskAttempt> decode(wire::TaskAttempt::Reader wire)
{
    auto task = TaskId::create(wire.getTask().cStr());
    if (!task.ok())
        return task.status();
    return TaskAttempt { *std::move(task), Attempt(wire.getAttempt()) };
}

static void encode(const std::vector<TaskAttempt>& tasks, capnp::List<wire::TaskAttempt>::Builder wire)
{
    for (unsigned index = 0; index < wire.size(); ++index)
        encode(tasks[index], wire[index]);
}

static absl::StatusOr<std::vector<TaskAttempt>> decode(capnp::List<wire::TaskAttempt>::Reader wire)
{
    std::vector<TaskAttempt> tasks;
    for (auto item : wire) {
        auto task = decode(item);
        if (!task.ok())
            return task.status();
        tasks.push_back(*std::move(task));
    }
    return tasks;
}

// Returns the first status that is an error, or OK.
static absl::Status firstError(std::initializer_list<absl::Status> statuses)
{
    for (const absl::Status& status : statuses) {
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

void encode(const ProbeOrder& order, wire::Probe::Builder wire)
{
    wire.setTeam(order.team_.value());
    encode(order.wanted_, wire.initWanted());
}

absl::StatusOr<ProbeOrder> decode(wire::Probe::Reader wire)
{
    auto team = TeamName::create(wire.getTeam().cStr());
    auto wanted = decode(wire.getWanted());
    if (absl::Status status = firstError({ team.status(), wanted.status() }); !status.ok())
        return status;
    return ProbeOrder { *std::move(team), *wanted };
}

void encode(const HostOffer& offer, wire::Offer::Builder wire)
{
    wire.setWorker(offer.worker_.value());
    wire.setDomain(offer.domain_.value());
    wire.setRack(offer.rack_.value());
    encode(offer.stamp_, wire.initStamp());
    encode(offer.capacity_, wire.initCapacity());
    encode(offer.free_, wire.initFree());
    wire.setRunning(offer.running_);
    wire.setPressure(offer.pressure_);
    wire.setAccepting(offer.accepting_);
}

absl::StatusOr<HostOffer> decode(wire::Offer::Reader wire)
{
    auto worker = WorkerName::create(wire.getWorker().cStr());
    auto domain = FailureDomainName::create(wire.getDomain().cStr());
    auto rack = RackName::create(wire.getRack().cStr());
    auto capacity = decode(wire.getCapacity());
    auto free = decode(wire.getFree());
    if (absl::Status status = firstError({ worker.status(), domain.status(), rack.status(), capacity.status(), free.status() }); !status.ok())
        return status;
    return HostOffer { *std::move(worker), *std::move(domain), *std::move(rack), decode(wire.getStamp()), *capacity, *free, wire.getRunning(), wire.getPressure(),
        wire.getAccepting() };
}

void encode(const StartOrder& order, wire::Start::Builder wire)
{
    encode(TaskAttempt { order.task_, order.attempt_ }, wire.initTask());
    wire.setPartition(order.partition_.value());
    wire.setEpoch(order.epoch_.value());
    wire.setTeam(order.team_.value());
    wire.setTrial(order.tier_ == Tier::Trial);
    encode(order.resources_, wire.initResources());
    wire.setCommand(order.command_);
    wire.setCheckpoint(order.checkpoint_);
    encode(order.stamp_, wire.initStamp());
    wire.setLease(order.lease_.count());
}

absl::StatusOr<StartOrder> decode(wire::Start::Reader wire)
{
    auto task = decode(wire.getTask());
    auto team = TeamName::create(wire.getTeam().cStr());
    auto resources = decode(wire.getResources());
    if (absl::Status status = firstError({ task.status(), team.status(), resources.status() }); !status.ok())
        return status;
    return StartOrder { task->task_, task->attempt_, PartitionNumber(wire.getPartition()), Epoch(wire.getEpoch()), *std::move(team),
        wire.getTrial() ? Tier::Trial : Tier::Paying, *resources, wire.getCommand().cStr(), wire.getCheckpoint().cStr(), decode(wire.getStamp()), Duration(wire.getLease()) };
}

void encode(const StartOutcome& outcome, wire::StartAnswer::Builder wire)
{
    std::visit(Visitor {
                   [&](const Started&) { wire.setStarted(); },
                   [&](const StartRefused& refused) {
                       auto group = wire.initRefused();
                       group.setReason(static_cast<uint16_t>(refused.reason_));
                       group.setDetail(refused.detail_);
                   },
               },
        outcome);
}

absl::StatusOr<StartOutcome> decode(wire::StartAnswer::Reader wire)
{
    if (wire.isStarted())
        return StartOutcome(Started {});
    uint16_t reason = wire.isRefused() ? wire.getRefused().getReason() : std::numeric_limits<uint16_t>::max();
    if (reason > static_cast<uint16_t>(StartRefusal::EarlierAttemptRuns))
        return absl::InvalidArgumentError("unknown kind of answer, or reason of refusal, to a start order");
    return StartOutcome(StartRefused { static_cast<StartRefusal>(reason), wire.getRefused().getDetail().cStr() });
}

void encode(const StopOrder& order, wire::Stop::Builder wire)
{
    encode(TaskAttempt { order.task_, order.attempt_ }, wire.initTask());
    wire.setPartition(order.partition_.value());
    wire.setEpoch(order.epoch_.value());
    wire.setCheckpoint(order.kind_ == StopKind::Checkpoint);
}

absl::StatusOr<StopOrder> decode(wire::Stop::Reader wire)
{
    auto task = decode(wire.getTask());
    if (!task.ok())
        return task.status();
    return StopOrder { task->task_, task->attempt_, PartitionNumber(wire.getPartition()), Epoch(wire.getEpoch()), wire.getCheckpoint() ? StopKind::Checkpoint : StopKind::Stop };
}

wire::StopAnswer encode(const StopOutcome& outcome)
{
    return std::visit(Visitor {
                          [](const StopAccepted&) { return wire::StopAnswer::ACCEPTED; },
                          [](const StopUnknownTask&) { return wire::StopAnswer::UNKNOWN_TASK; },
                          [](const StopStaleEpoch&) { return wire::StopAnswer::STALE_EPOCH; },
                          [](const StopNotReady&) { return wire::StopAnswer::NOT_READY; },
                      },
        outcome);
}

absl::StatusOr<StopOutcome> decode(wire::StopAnswer answer)
{
    switch (answer) {
    case wire::StopAnswer::ACCEPTED:
        return StopOutcome(StopAccepted {});
    case wire::StopAnswer::UNKNOWN_TASK:
        return StopOutcome(StopUnknownTask {});
    case wire::StopAnswer::STALE_EPOCH:
        return StopOutcome(StopStaleEpoch {});
    case wire::StopAnswer::NOT_READY:
        return StopOutcome(StopNotReady {});
    }
    return absl::InvalidArgumentError("unknown kind of answer to a stop order");
}

void encode(const Renewal& renewal, wire::Renewal::Builder wire)
{
    wire.setPartition(renewal.partition_.value());
    wire.setEpoch(renewal.epoch_.value());
    encode(renewal.stamp_, wire.initStamp());
    wire.setLease(renewal.lease_.count());
    wire.setAcknowledged(renewal.acknowledged_.value());
    if (!renewal.unwanted_.empty())
        encode(renewal.unwanted_, wire.initUnwanted(static_cast<unsigned>(renewal.unwanted_.size())));
    wire.setDigest(renewal.digest_);
}

absl::StatusOr<Renewal> decode(wire::Renewal::Reader wire)
{
    auto unwanted = decode(wire.getUnwanted());
    if (!unwanted.ok())
        return unwanted.status();
    return Renewal { PartitionNumber(wire.getPartition()), Epoch(wire.getEpoch()), decode(wire.getStamp()), Duration(wire.getLease()), Sequence(wire.getAcknowledged()),
        *std::move(unwanted), wire.getDigest() };
}

static void encode(const HostEvent& event, wire::Event::Builder wire)
{
    wire.setSequence(event.sequence_.value());
    encode(event.task_, wire.initTask());
    std::visit(Visitor {
                   [&](const TaskStarted&) { wire.setStarted(); },
                   [&](const TaskFinished& finished) {
                       auto group = wire.initFinished();
                       group.setExitCode(finished.exitCode_);
                       group.setResult(finished.result_);
                   },
                   [&](const TaskFailed& failed) { wire.setFailed(failed.reason_); },
                   [&](const TaskCheckpointed& checkpointed) { wire.setCheckpointed(checkpointed.reference_); },
                   [&](const TaskStopped&) { wire.setStopped(); },
                   [&](const TaskLeaseLapsed&) { wire.setLeaseLapsed(); },
               },
        event.event_);
}

static absl::StatusOr<TaskEvent> decodeKind(wire::Event::Reader wire)
{
    switch (wire.which()) {
    case wire::Event::STARTED:
        return TaskEvent(TaskStarted {});
    case wire::Event::FINISHED:
        return TaskEvent(TaskFinished { wire.getFinished().getExitCode(), wire.getFinished().getResult().cStr() });
    case wire::Event::FAILED:
        return TaskEvent(TaskFailed { wire.getFailed().cStr() });
    case wire::Event::CHECKPOINTED:
        return TaskEvent(TaskCheckpointed { wire.getCheckpointed().cStr() });
    case wire::Event::STOPPED:
        return TaskEvent(TaskStopped {});
    case wire::Event::LEASE_LAPSED:
        return TaskEvent(TaskLeaseLapsed {});
    }
    return absl::InvalidArgumentError("unknown kind of task event");
}

static absl::StatusOr<HostEvent> decode(wire::Event::Reader wire)
{
    auto task = decode(wire.getTask());
    auto event = decodeKind(wire);
    if (absl::Status status = firstError({ task.status(), event.status() }); !status.ok())
        return status;
    return HostEvent { Sequence(wire.getSequence()), *std::move(task), *std::move(event) };
}

static void encodeAnswer(const RenewalAnswer& answer, wire::RenewalAnswer::Answered::Builder wire)
{
    encode(answer.stamp_, wire.initStamp());
    wire.setRenewed(answer.renewed_);
    wire.setMoreEvents(answer.moreEvents_);
    wire.setDigest(answer.digest_);
    if (!answer.running_.empty())
        encode(answer.running_, wire.initRunning(static_cast<unsigned>(answer.running_.size())));
    if (answer.events_.empty())
        return;
    auto events = wire.initEvents(static_cast<unsigned>(answer.events_.size()));
    for (unsigned index = 0; index < events.size(); ++index)
        encode(answer.events_[index], events[index]);
}

void encode(const RenewalOutcome& outcome, wire::RenewalAnswer::Builder wire)
{
    std::visit(Visitor {
                   [&](const RenewalAnswer& answer) { encodeAnswer(answer, wire.initAnswered()); },
                   [&](const RenewalStaleEpoch&) { wire.setStaleEpoch(); },
                   [&](const RenewalNotReady&) { wire.setNotReady(); },
               },
        outcome);
}

static absl::StatusOr<RenewalOutcome> decodeAnswer(wire::RenewalAnswer::Answered::Reader wire)
{
    auto running = decode(wire.getRunning());
    if (!running.ok())
        return running.status();
    RenewalAnswer answer { decode(wire.getStamp()), wire.getRenewed(), {}, wire.getMoreEvents(), wire.getDigest(), *std::move(running) };
    for (auto item : wire.getEvents()) {
        auto event = decode(item);
        if (!event.ok())
            return event.status();
        answer.events_.push_back(*std::move(event));
    }
    return RenewalOutcome(std::move(answer));
}

absl::StatusOr<RenewalOutcome> decode(wire::RenewalAnswer::Reader wire)
{
    switch (wire.which()) {
    case wire::RenewalAnswer::STALE_EPOCH:
        return RenewalOutcome(RenewalStaleEpoch {});
    case wire::RenewalAnswer::NOT_READY:
        return RenewalOutcome(RenewalNotReady {});
    case wire::RenewalAnswer::ANSWERED:
        return decodeAnswer(wire.getAnswered());
    }
    return absl::InvalidArgumentError("unknown kind of answer to a renewal");
}

} // namespace persimmondoor::hosting
