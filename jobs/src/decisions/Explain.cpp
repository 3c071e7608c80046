#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/jobs/Owner.h"

#include <iterator>

namespace persimmondoor::jobs {

static std::string formatSite(const placement::Site& site)
{
    return concat(site.worker_.value(), " in ", site.domain_.value());
}

static std::string explainWaiting(const Owner::Wait* wait, bool isStartPending, bool isStalled, Instant now)
{
    if (isStalled)
        return "waits: a start must be written, and the table service does not accept writes";
    if (isStartPending)
        return "a worker is chosen; its start is being written";
    if (!wait || wait->reason_.empty())
        return "waits behind tasks with a higher priority or an earlier submission";
    int64_t seconds = std::chrono::duration_cast<std::chrono::seconds>(wait->notBefore_ - now).count();
    return seconds > 1 ? concat(wait->reason_, "; retried in ", seconds, " s") : wait->reason_;
}

std::string explainTask(const Owner& owner, const TaskKey& key, Instant now)
{
    const Task* task = owner.ledger_.find(key);
    if (!task)
        return owner.pendingSubmissions_.contains(key.job_) ? "submitted; not durable yet" : "no such task";
    auto wait = owner.waits_.find(key);
    auto waiting = [&] {
        return explainWaiting(wait == owner.waits_.end() ? nullptr : &wait->second, owner.pendingStarts_.contains(key), owner.journal_.isStalled(), now);
    };
    auto state = owner.attempts_.find(key);
    std::string cause = state != owner.attempts_.end() && state->second.isEvicting_ ? "a paying task needs its resources, or its failure domain is out of service" : "its worker was ordered to stop it";
    return std::visit(Visitor {
                          [&](const Queued&) { return waiting(); },
                          [&](const Evicted&) { return concat("stopped before its end, resumes from its checkpoint: ", waiting()); },
                          [&](const Starting& phase) { return concat("starts at ", formatSite(phase.site_)); },
                          [&](const Running& phase) { return concat("runs at ", formatSite(phase.site_)); },
                          [&](const Checkpointing& phase) { return concat("saves a checkpoint and stops at ", formatSite(phase.site_), ": ", cause); },
                          [&](const Stopping& phase) { return concat("stops at ", formatSite(phase.site_), ": its job was cancelled"); },
                          [&](const Finished& phase) { return concat("finished with exit code ", phase.exitCode_); },
                          [&](const Failed& phase) { return phase.reason_; },
                          [&](const Cancelled&) { return std::string("its job was cancelled"); },
                          [&](const Unplaceable& phase) { return concat("can never run: ", phase.reason_); },
                      },
        task->phase_);
}

} // namespace persimmondoor::jobs
