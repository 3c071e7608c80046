#include "OwnerRules.h"
#include "persimmondoor/core/Visitor.h"

namespace persimmondoor::jobs {

void OwnerRules::operator()(const JournalAnswered& message)
{
    tellJournal(message.message_);
}

void OwnerRules::propose(std::vector<Record> records, Lane lane)
{
    if (!records.empty())
        tellJournal(Proposed { std::move(records), lane });
}

void OwnerRules::tellJournal(const JournalMessage& message)
{
    JournalDecision decision = decide(std::move(owner_.journal_), message, moment_.now_);
    owner_.journal_ = std::move(decision.state_);
    for (const JournalAction& action : decision.actions_) {
        std::visit(Visitor {
                       [&](const WriteBatch& write) { commit(write.batch_); },
                       [&](const ReadBack& read) { actions_.emplace_back(ReadBatch { read.sequence_ }); },
                       [&](const BatchDurable& durable) { makeDurable(durable.batch_); },
                       [&](const StartsDropped& dropped) {
                           for (const TaskAssigned& start : dropped.starts_) {
                               owner_.proposedStarts_.erase(start.task_);
                               delay(start.task_, "its failure domain went out of service", Duration(0));
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

// The version at which each domain was in service: if the domain has left since, the transaction conflicts.
void OwnerRules::commit(const Batch& batch)
{
    CommitBatch commit { batch, {} };
    for (const Record& record : batch.records_) {
        const auto* start = std::get_if<TaskAssigned>(&record);
        if (!start)
            continue;
        auto known = owner_.domains_.find(start->site_.domain_);
        commit.domains_.emplace(start->site_.domain_, known == owner_.domains_.end() ? store::RowVersion() : known->second.openVersion_);
    }
    actions_.emplace_back(std::move(commit));
}

void OwnerRules::makeDurable(const Batch& batch)
{
    Applied applied = applyRecords(std::move(owner_.ledger_), batch.records_);
    owner_.ledger_ = std::move(applied.ledger_);
    ++owner_.identity_.batchesSinceSnapshot_;
    for (const LedgerEffect& effect : applied.effects_)
        std::visit([&](const auto& alternative) { onEffect(alternative); }, effect);
    for (const Record& record : batch.records_) {
        std::visit(Visitor {
                       [&](const JobSubmitted& submitted) {
                           answerSubmission(submitted.spec_.id_);
                           owner_.nextRound_ = moment_.now_;
                       },
                       [&](const JobCancelled& cancelled) { answerCancellations(cancelled.job_); },
                       [&](const JobUnplaceable& verdict) { owner_.proposedVerdicts_.erase(verdict.job_); },
                       [&](const JobExpired& forgotten) { owner_.proposedVerdicts_.erase(forgotten.job_); },
                       // A start that met a task which no longer waits has changed nothing.
                       [&](const TaskAssigned& start) { owner_.proposedStarts_.erase(start.task_); },
                       [](const auto&) {},
                   },
            record);
    }
}

void OwnerRules::takeSnapshotIfDue()
{
    bool underWay = owner_.snapshotUnderWay_ != Sequence();
    if (underWay || owner_.isResigned() || owner_.identity_.batchesSinceSnapshot_ < snapshotBatches || owner_.journal_.isStalled())
        return;
    owner_.snapshotUnderWay_ = Sequence(owner_.journal_.next().value() - 1);
    owner_.identity_.batchesSinceSnapshot_ = 0;
    actions_.emplace_back(StoreSnapshot { owner_.snapshotUnderWay_ });
}

void OwnerRules::operator()(const SnapshotStored& message)
{
    if (message.through_ != owner_.snapshotUnderWay_)
        return;
    owner_.snapshotUnderWay_ = Sequence();
    // After a failure the next one is due at half the usual number of batches.
    if (!message.stored_)
        owner_.identity_.batchesSinceSnapshot_ += snapshotBatches / 2;
}

} // namespace persimmondoor::jobs
