#include "Codec.h"
#include "Wire.h"
#include "persimmondoor/core/Visitor.h"

#include <capnp/message.h>

namespace persimmondoor::jobs {

static void encode(const TaskPhase& phase, wire::Phase::Builder wire)
{
    auto assigned = [&](const auto& item) { encode(item.site_, wire.initAssigned()); };
    std::visit(Visitor {
                   [&](const Queued&) { wire.setQueued(); },
                   [&](const Evicted&) { wire.setEvicted(); },
                   [&](const Starting& item) { assigned(item); },
                   [&](const Running& item) { assigned(item); },
                   [&](const Checkpointing& item) { assigned(item); },
                   [&](const Stopping& item) { encode(item.site_, wire.initStopping()); },
                   [&](const Finished& item) {
                       auto group = wire.initFinished();
                       group.setExitCode(item.exitCode_);
                       if (!item.result_.empty())
                           group.setResult(item.result_);
                   },
                   [&](const Failed& item) { wire.setFailed(item.reason_); },
                   [&](const Cancelled&) { wire.setCancelled(); },
                   [&](const Unplaceable& item) { wire.setUnplaceable(item.reason_); },
               },
        phase);
}

static TaskPhase readPhase(wire::Phase::Reader wire)
{
    switch (wire.which()) {
    case wire::Phase::QUEUED:
        return Queued {};
    case wire::Phase::EVICTED:
        return Evicted {};
    case wire::Phase::ASSIGNED:
        return Starting { readSite(wire.getAssigned()) };
    case wire::Phase::STOPPING:
        return Stopping { readSite(wire.getStopping()) };
    case wire::Phase::FINISHED:
        return Finished { wire.getFinished().getExitCode(), textOf(wire.getFinished().getResult()) };
    case wire::Phase::FAILED:
        return Failed { textOf(wire.getFailed()) };
    case wire::Phase::CANCELLED:
        return Cancelled {};
    case wire::Phase::UNPLACEABLE:
        return Unplaceable { textOf(wire.getUnplaceable()) };
    }
    KJ_FAIL_REQUIRE("unknown kind of phase");
}

static void encode(const Task& task, wire::Task::Builder wire)
{
    encode(task.phase_, wire.initPhase());
    wire.setAttempt(task.attempt_.value());
    wire.setFailures(task.failures_);
    if (!task.checkpoint_.empty())
        wire.setCheckpoint(task.checkpoint_);
    if (!task.failedAt_.empty())
        encodeNames(task.failedAt_, wire.initFailedAt(static_cast<unsigned>(task.failedAt_.size())));
    if (!task.lastError_.empty())
        wire.setLastError(task.lastError_);
}

static Task readTask(wire::Task::Reader wire)
{
    return { readPhase(wire.getPhase()), Attempt(wire.getAttempt()), wire.getFailures(), textOf(wire.getCheckpoint()), decodeNames(wire.getFailedAt()),
        textOf(wire.getLastError()) };
}

static void encode(const Job& job, wire::Job::Builder wire)
{
    encode(job.spec_, wire.initSpec());
    wire.setOrder(job.submissionNumber_.value());
    auto tasks = wire.initTasks(static_cast<unsigned>(job.tasks_.size()));
    for (unsigned index = 0; index < tasks.size(); ++index)
        encode(job.tasks_[index], tasks[index]);
    wire.setCancelled(job.isCancelled_);
    wire.setFinished(job.finishedTasks_);
    wire.setFailures(job.failures_);
    encodeNames(job.failedAt_, wire.initFailedAt(static_cast<unsigned>(job.failedAt_.size())));
    wire.setSubmittedAt(job.submittedAt_);
    wire.setEndedAt(job.endedAt_);
}

static Job readJob(wire::Job::Reader wire)
{
    Job job;
    job.spec_ = readSpec(wire.getSpec());
    job.submissionNumber_ = Sequence(wire.getOrder());
    for (auto task : wire.getTasks()) {
        job.tasks_.push_back(readTask(task));
        job.liveTasks_ += isEnded(job.tasks_.back().phase_) ? 0 : 1;
    }
    job.isCancelled_ = wire.getCancelled();
    job.finishedTasks_ = wire.getFinished();
    job.failures_ = wire.getFailures();
    job.failedAt_ = decodeNames(wire.getFailedAt());
    job.submittedAt_ = wire.getSubmittedAt();
    job.endedAt_ = wire.getEndedAt();
    return job;
}

std::string encodeSnapshot(const Ledger& ledger)
{
    capnp::MallocMessageBuilder message;
    auto jobs = message.initRoot<wire::Snapshot>().initJobs(static_cast<unsigned>(ledger.jobs().size()));
    unsigned index = 0;
    for (const auto& [id, job] : ledger.jobs())
        encode(job, jobs[index++]);
    return pack(message);
}

absl::StatusOr<Ledger> decodeSnapshot(const std::string& bytes)
{
    return unpack<wire::Snapshot>(bytes, [](wire::Snapshot::Reader wire) {
        std::vector<Job> jobs;
        for (auto job : wire.getJobs())
            jobs.push_back(readJob(job));
        return restoreLedger(std::move(jobs));
    });
}

std::string encode(const SnapshotRow& row)
{
    capnp::MallocMessageBuilder message;
    auto wire = message.initRoot<wire::SnapshotRow>();
    wire.setObject(row.object_);
    wire.setThrough(row.through_.value());
    return pack(message);
}

absl::StatusOr<SnapshotRow> decodeSnapshotRow(const std::string& bytes)
{
    return unpack<wire::SnapshotRow>(bytes, [](wire::SnapshotRow::Reader wire) { return SnapshotRow { textOf(wire.getObject()), Sequence(wire.getThrough()) }; });
}

std::string encode(const DomainRow& row)
{
    capnp::MallocMessageBuilder message;
    auto wire = message.initRoot<wire::DomainRow>();
    wire.setInService(row.inService_);
    wire.setChange(row.change_);
    wire.setChangedAt(row.changedAt_);
    return pack(message);
}

absl::StatusOr<DomainRow> decodeDomainRow(const std::string& bytes)
{
    return unpack<wire::DomainRow>(bytes, [](wire::DomainRow::Reader wire) { return DomainRow { wire.getInService(), textOf(wire.getChange()), wire.getChangedAt() }; });
}

} // namespace persimmondoor::jobs
