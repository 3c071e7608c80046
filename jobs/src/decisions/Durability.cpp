#include "OwnerRules.h"
#include "persimmondoor/core/Visitor.h"

namespace persimmondoor::jobs {

void OwnerRules::operator()(const JournalAnswered& message)
{
    sendToJournal(message.message_);
}

void OwnerRules::append(std::vector<Record> records, Lane lane)
{
    if (!records.empty())
        sendToJournal(AppendRequested { std::move(records), lane });
}

void OwnerRules::sendToJournal(const JournalMessage& message)
{
    JournalDecision decision = decide(std::move(owner_.journal_), message, moment_.now_);
    owner_.journal_ = std::move(decision.state_);
    for (const JournalAction& action : decision.actions_) {
        std::visit(Visitor {
                       [&](const WriteBatch& write) { commit(write.batch_); },
                       [&](const ReadBack& read) { actions_.emplace_back(ReadBatch { read.sequence_ }); },
                       [&](const BatchDurable& durable) { applyBatch(durable.batch_); },
                       [&](const StartsDropped& dropped) {
                           for (const TaskAssigned& start : dropped.starts_) {
                               owner_.pendingStarts_.erase(start.task_);
                               delay(start.task_, "its failure domain was taken out of service", Duration(0));
                           }
                       },
                       [&](const OwnershipLost&) {
                           answerAllUnknown();
                           actions_.emplace_back(Resign {});
                       },
                   },
            action);
    }
}

// The conditions name the version at which each domain was last in service. If the domain was taken out of service since,
// the transaction conflicts.
void OwnerRules::commit(const Batch& batch)
{
    CommitBatch commit { batch, {} };
    for (const Record& record : batch.records_) {
        const auto* start = std::get_if<TaskAssigned>(&record);
        if (!start)
            continue;
        auto known = owner_.domains_.find(start->site_.domain_);
        commit.domains_.emplace(start->site_.domain_, known == owner_.domains_.end() ? store::RowVersion() : known->second.inServiceVersion_);
    }
    actions_.emplace_back(std::move(commit));
}

void OwnerRules::applyBatch(const Batch& batch)
{
    Applied applied = applyRecords(std::move(owner_.ledger_), batch.records_);
    owner_.ledger_ = std::move(applied.ledger_);
    ++owner_.identity_.batchesSinceSnapshot_;
    for (const LedgerEffect& effect : applied.effects_)
        std::visit([&](const auto& alternative) { handleEffect(alternative); }, effect);
    for (const Record& record : batch.records_) {
        std::visit(Visitor {
                       [&](const JobSubmitted& submitted) {
                           answerSubmission(submitted.spec_.id_);
                           owner_.nextRoundAt_ = moment_.now_;
                       },
                       [&](const JobCancelled& cancelled) { answerCancellations(cancelled.job_); },
                       [&](const JobUnplaceable& unplaceable) { owner_.pendingJobRecords_.erase(unplaceable.job_); },
                       [&](const JobExpired& expired) { owner_.pendingJobRecords_.erase(expired.job_); },
                       // If the task no longer waits, the record has no `StartPermitted` effect that would remove the pending start.
                       [&](const TaskAssigned& start) { owner_.pendingStarts_.erase(start.task_); },
                       [](const auto&) {},
                   },
            record);
    }
}

void OwnerRules::takeSnapshotIfDue()
{
    bool isInFlight = owner_.snapshotInFlight_ != Sequence();
    if (isInFlight || owner_.isResigned() || owner_.identity_.batchesSinceSnapshot_ < snapshotBatches || owner_.journal_.isStalled())
        return;
    owner_.snapshotInFlight_ = Sequence(owner_.journal_.nextBatch().value() - 1);
    owner_.identity_.batchesSinceSnapshot_ = 0;
    actions_.emplace_back(StoreSnapshot { owner_.snapshotInFlight_ });
}

void OwnerRules::operator()(const SnapshotStored& message)
{
    if (message.through_ != owner_.snapshotInFlight_)
        return;
    owner_.snapshotInFlight_ = Sequence();
    // After a failure, the next snapshot is due after half the usual number of batches.
    if (!message.isStored_)
        owner_.identity_.batchesSinceSnapshot_ += snapshotBatches / 2;
}

} // namespace persimmondoor::jobs
