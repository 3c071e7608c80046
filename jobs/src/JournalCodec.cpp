#include "Codec.h"
#include "Wire.h"
#include "persimmondoor/core/Visitor.h"

#include <capnp/message.h>

namespace persimmondoor::jobs {

void encode(const placement::Site& site, wire::Site::Builder wire)
{
    wire.setWorker(site.worker_.value());
    wire.setRack(site.rack_.value());
    wire.setDomain(site.domain_.value());
}

placement::Site readSite(wire::Site::Reader wire)
{
    return { nameOf<WorkerName>(wire.getWorker()), nameOf<RackName>(wire.getRack()), nameOf<FailureDomainName>(wire.getDomain()) };
}

static void encode(const TaskKey& key, Attempt attempt, wire::Run::Builder wire)
{
    wire.setJob(key.job_.value());
    wire.setIndex(key.index_);
    wire.setAttempt(attempt.value());
}

static TaskKey readKey(wire::Run::Reader wire)
{
    return { nameOf<JobId>(wire.getJob()), wire.getIndex() };
}

static Attempt readAttempt(wire::Run::Reader wire)
{
    return Attempt(wire.getAttempt());
}

static void encode(const Record& record, wire::Record::Builder wire)
{
    std::visit([&]<typename Alternative>(const Alternative& item) {
        if constexpr (requires { item.at_; })
            wire.setAt(item.at_);
    },
        record);
    std::visit(Visitor {
                   [&](const JobSubmitted& item) { encode(item.spec_, wire.initSubmitted()); },
                   [&](const JobCancelled& item) { wire.setCancelled(item.job_.value()); },
                   [&](const TaskAssigned& item) {
                       auto group = wire.initAssigned();
                       encode(item.task_, item.attempt_, group.initRun());
                       encode(item.site_, group.initSite());
                   },
                   [&](const CheckpointSaved& item) {
                       auto group = wire.initCheckpoint();
                       encode(item.task_, item.attempt_, group.initRun());
                       group.setReference(item.reference_);
                   },
                   [&](const TaskReleased& item) {
                       auto group = wire.initReleased();
                       encode(item.task_, item.attempt_, group.initRun());
                       group.setCause(static_cast<uint16_t>(item.cause_));
                       if (!item.checkpoint_.empty())
                           group.setCheckpoint(item.checkpoint_);
                   },
                   [&](const TaskFinished& item) {
                       auto group = wire.initFinished();
                       encode(item.task_, item.attempt_, group.initRun());
                       group.setExitCode(item.exitCode_);
                       if (!item.result_.empty())
                           group.setResult(item.result_);
                   },
                   [&](const TaskFailed& item) {
                       auto group = wire.initFailed();
                       encode(item.task_, item.attempt_, group.initRun());
                       group.setReason(item.reason_);
                       group.setCounted(item.isCounted_);
                   },
                   [&](const JobUnplaceable& item) {
                       auto group = wire.initUnplaceable();
                       group.setJob(item.job_.value());
                       group.setReason(item.reason_);
                   },
                   [&](const JobExpired& item) { wire.setForgotten(item.job_.value()); },
               },
        record);
}

static Record readRecord(wire::Record::Reader wire)
{
    int64_t at = wire.getAt();
    switch (wire.which()) {
    case wire::Record::SUBMITTED:
        return JobSubmitted { readSpec(wire.getSubmitted()), at };
    case wire::Record::CANCELLED:
        return JobCancelled { nameOf<JobId>(wire.getCancelled()), at };
    case wire::Record::ASSIGNED: {
        auto group = wire.getAssigned();
        return TaskAssigned { readKey(group.getRun()), readAttempt(group.getRun()), readSite(group.getSite()) };
    }
    case wire::Record::CHECKPOINT: {
        auto group = wire.getCheckpoint();
        return CheckpointSaved { readKey(group.getRun()), readAttempt(group.getRun()), textOf(group.getReference()) };
    }
    case wire::Record::RELEASED: {
        auto group = wire.getReleased();
        return TaskReleased { readKey(group.getRun()), readAttempt(group.getRun()), enumerationOf(group.getCause(), ReleaseCause::LeaseLapsed), textOf(group.getCheckpoint()), at };
    }
    case wire::Record::FINISHED: {
        auto group = wire.getFinished();
        return TaskFinished { readKey(group.getRun()), readAttempt(group.getRun()), group.getExitCode(), textOf(group.getResult()), at };
    }
    case wire::Record::FAILED: {
        auto group = wire.getFailed();
        return TaskFailed { readKey(group.getRun()), readAttempt(group.getRun()), textOf(group.getReason()), group.getCounted(), at };
    }
    case wire::Record::UNPLACEABLE:
        return JobUnplaceable { nameOf<JobId>(wire.getUnplaceable().getJob()), textOf(wire.getUnplaceable().getReason()), at };
    case wire::Record::FORGOTTEN:
        return JobExpired { nameOf<JobId>(wire.getForgotten()) };
    }
    KJ_FAIL_REQUIRE("unknown kind of record");
}

std::string encode(const Batch& batch)
{
    capnp::MallocMessageBuilder message;
    auto wire = message.initRoot<wire::Batch>();
    wire.setEpoch(batch.epoch_.value());
    wire.setSequence(batch.sequence_.value());
    auto records = wire.initRecords(static_cast<unsigned>(batch.records_.size()));
    for (unsigned index = 0; index < records.size(); ++index)
        encode(batch.records_[index], records[index]);
    return pack(message);
}

absl::StatusOr<Batch> decodeBatch(const std::string& bytes)
{
    return unpack<wire::Batch>(bytes, [](wire::Batch::Reader wire) {
        Batch batch { Epoch(wire.getEpoch()), Sequence(wire.getSequence()), {} };
        for (auto record : wire.getRecords())
            batch.records_.push_back(readRecord(record));
        return batch;
    });
}

} // namespace persimmondoor::jobs
