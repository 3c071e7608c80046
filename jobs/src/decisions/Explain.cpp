#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/jobs/Owner.h"

#include <iterator>

namespace persimmondoor::jobs {

static std::string at(const placement::Site& site)
{
    return concat(site.worker_.value(), " in ", site.domain_.value());
}

static std::string explainWaiting(const Owner::Wait* wait, bool proposed, bool stalled, Instant now)
{
    if (stalled)
        return "waits: the table service takes no writes, and a start needs one";
    if (proposed)
        return "a worker is chosen; its start is being written";
    if (!wait || wait->reason_.empty())
        return "waits for its turn behind earlier or more important tasks";
    int64_t seconds = std::chrono::duration_cast<std::chrono::seconds>(wait->notBefore_ - now).count();
    return seconds > 1 ? concat(wait->reason_, "; tried again in ", seconds, " s") : wait->reason_;
}

std::string explainTask(const Owner& owner, const TaskKey& key, Instant now)
{
    const Task* task = owner.ledger_.find(key);
    if (!task)
        return owner.submissions_.contains(key.job_) ? "submitted; being written" : "no such task";
    auto wait = owner.waits_.find(key);
    auto waiting = [&] {
        return explainWaiting(wait == owner.waits_.end() ? nullptr : &wait->second, owner.proposedStarts_.contains(key), owner.journal_.isStalled(), now);
    };
    auto run = owner.runs_.find(key);
    std::string end = run != owner.runs_.end() && run->second.evicting_ ? "its room or failure domain is needed" : "its worker was told to";
    return std::visit(Visitor {
                          [&](const Queued&) { return waiting(); },
                          [&](const Evicted&) { return concat("stopped before its end, resumes from its checkpoint: ", waiting()); },
                          [&](const Starting& phase) { return concat("starts at ", at(phase.site_)); },
                          [&](const Running& phase) { return concat("runs at ", at(phase.site_)); },
                          [&](const Checkpointing& phase) { return concat("saves a checkpoint and stops at ", at(phase.site_), ": ", end); },
                          [&](const Stopping& phase) { return concat("stops at ", at(phase.site_), ": its job was cancelled"); },
                          [&](const Finished& phase) { return concat("finished with exit code ", phase.exitCode_); },
                          [&](const Failed& phase) { return phase.reason_; },
                          [&](const Cancelled&) { return std::string("its job was cancelled"); },
                          [&](const Unplaceable& phase) { return concat("can never run: ", phase.reason_); },
                      },
        task->phase_);
}

} // namespace persimmondoor::jobs
