#include "persimmondoor/jobs/Journal.h"

#include "persimmondoor/core/Visitor.h"

#include <algorithm>

namespace persimmondoor::jobs {

// Estimated bytes of an encoded record, without its texts.
static constexpr size_t recordOverheadBytes = 64;

size_t estimateBytes(const Record& record)
{
    auto site = [](const placement::Site& where) { return where.worker_.value().size() + where.domain_.value().size() + where.rack_.value().size(); };
    size_t texts = std::visit(Visitor {
                                  [](const JobSubmitted& item) { return item.spec_.id_.value().size() + item.spec_.team_.value().size() + item.spec_.command_.size(); },
                                  [](const JobCancelled& item) { return item.job_.value().size(); },
                                  [&](const TaskAssigned& item) { return item.task_.job_.value().size() + site(item.site_); },
                                  [](const CheckpointSaved& item) { return item.task_.job_.value().size() + item.reference_.size(); },
                                  [](const TaskReleased& item) { return item.task_.job_.value().size() + item.checkpoint_.size(); },
                                  [](const TaskFinished& item) { return item.task_.job_.value().size() + item.result_.size(); },
                                  [](const TaskFailed& item) { return item.task_.job_.value().size() + item.reason_.size(); },
                                  [](const JobUnplaceable& item) { return item.job_.value().size() + item.reason_.size(); },
                                  [](const JobExpired& item) { return item.job_.value().size(); },
                              },
        record);
    return texts + recordOverheadBytes;
}

Journal Journal::create(Epoch epoch, Sequence nextBatch)
{
    Journal journal;
    journal.epoch_ = epoch;
    journal.nextBatch_ = nextBatch;
    return journal;
}

size_t Journal::pending() const
{
    return urgent_.size() + deferred_.size() + batchInFlight_.records_.size();
}

struct JournalRules {
    using Stage = Journal::Stage;

    Journal& journal_;
    std::vector<JournalAction>& actions_;
    Instant now_;

    void operator()(const AppendRequested& message)
    {
        if (message.lane_ == Lane::Urgent) {
            journal_.urgent_.insert(journal_.urgent_.end(), message.records_.begin(), message.records_.end());
        } else {
            if (journal_.deferred_.empty())
                journal_.windowEnd_ = now_ + batchWindow;
            for (const Record& record : message.records_) {
                journal_.deferredBytes_ += estimateBytes(record);
                journal_.deferred_.push_back(record);
            }
        }
        flush();
    }

    void operator()(const BatchWritten& message)
    {
        if (isAwaited(message.sequence_, Stage::Writing))
            complete(std::move(journal_.batchInFlight_));
    }

    void operator()(const BatchRefused& message)
    {
        if (isAwaited(message.sequence_, Stage::Writing))
            waitToRetry(Stage::WaitingToWrite);
    }

    void operator()(const BatchOutcomeUnknown& message)
    {
        if (!isAwaited(message.sequence_, Stage::Writing))
            return;
        journal_.stage_ = Stage::ReadingBack;
        actions_.emplace_back(ReadBack { journal_.nextBatch_ });
    }

    void operator()(const ReadBackFailed& message)
    {
        if (isAwaited(message.sequence_, Stage::ReadingBack))
            waitToRetry(Stage::WaitingToRead);
    }

    void operator()(const BatchReadBack& message)
    {
        if (!isAwaited(message.sequence_, Stage::ReadingBack))
            return;
        if (!message.isOwned_ || (message.row_ && message.row_->epoch_ != journal_.epoch_))
            return loseOwnership();
        if (message.row_)
            return completeFromRow(*message.row_);
        dropClosedStarts(message.closedDomains_);
        if (journal_.batchInFlight_.records_.empty())
            return becomeIdle();
        write();
    }

    void operator()(const JournalTimePassed&)
    {
        if (now_ >= journal_.retryAt_ && journal_.stage_ == Stage::WaitingToWrite)
            return write();
        if (now_ >= journal_.retryAt_ && journal_.stage_ == Stage::WaitingToRead) {
            journal_.stage_ = Stage::ReadingBack;
            actions_.emplace_back(ReadBack { journal_.nextBatch_ });
            return;
        }
        flush();
    }

private:
    bool isAwaited(Sequence sequence, Stage stage) const { return journal_.stage_ == stage && journal_.nextBatch_ == sequence; }

    // The store holds the batch as an earlier write sent it, possibly before starts were removed from it. The row is what
    // is durable; records of the batch in flight that the row lacks are written again.
    void completeFromRow(const Batch& row)
    {
        std::vector<Record> missing;
        for (const Record& record : journal_.batchInFlight_.records_) {
            if (std::find(row.records_.begin(), row.records_.end(), record) == row.records_.end())
                missing.push_back(record);
        }
        journal_.urgent_.insert(journal_.urgent_.begin(), missing.begin(), missing.end());
        complete(row);
    }

    void complete(Batch batch)
    {
        actions_.emplace_back(BatchDurable { std::move(batch) });
        journal_.nextBatch_ = journal_.nextBatch_.next();
        becomeIdle();
    }

    void becomeIdle()
    {
        journal_.batchInFlight_ = Batch {};
        journal_.stage_ = Stage::Idle;
        journal_.retryDelay_ = Duration(0);
        flush();
    }

    // Starts a write if one is due: urgent records first, then as many deferred records as fit.
    void flush()
    {
        bool isDue = !journal_.urgent_.empty() || (!journal_.deferred_.empty() && (now_ >= journal_.windowEnd_ || journal_.deferredBytes_ >= deferredFlushBytes));
        if (journal_.isOwnershipLost_ || journal_.stage_ != Stage::Idle || !isDue)
            return;
        Batch batch { journal_.epoch_, journal_.nextBatch_, {} };
        size_t bytes = 0;
        while (!journal_.urgent_.empty() && bytes < maximumBatchBytes) {
            bytes += estimateBytes(journal_.urgent_.front());
            batch.records_.push_back(std::move(journal_.urgent_.front()));
            journal_.urgent_.pop_front();
        }
        while (!journal_.deferred_.empty() && bytes < maximumBatchBytes) {
            size_t size = estimateBytes(journal_.deferred_.front());
            bytes += size;
            journal_.deferredBytes_ -= size;
            batch.records_.push_back(std::move(journal_.deferred_.front()));
            journal_.deferred_.pop_front();
        }
        journal_.batchInFlight_ = std::move(batch);
        write();
    }

    void write()
    {
        journal_.stage_ = Stage::Writing;
        actions_.emplace_back(WriteBatch { journal_.batchInFlight_ });
    }

    void waitToRetry(Stage stage)
    {
        journal_.stage_ = stage;
        journal_.retryDelay_ = std::clamp(journal_.retryDelay_ * 2, firstRetryDelay, maximumRetryDelay);
        journal_.retryAt_ = now_ + journal_.retryDelay_;
    }

    void dropClosedStarts(const std::set<FailureDomainName>& closed)
    {
        StartsDropped dropped;
        std::erase_if(journal_.batchInFlight_.records_, [&](const Record& record) {
            const auto* start = std::get_if<TaskAssigned>(&record);
            bool drop = start && closed.contains(start->site_.domain_);
            if (drop)
                dropped.starts_.push_back(*start);
            return drop;
        });
        if (!dropped.starts_.empty())
            actions_.emplace_back(std::move(dropped));
    }

    void loseOwnership()
    {
        journal_.isOwnershipLost_ = true;
        journal_.stage_ = Stage::Idle;
        actions_.emplace_back(OwnershipLost {});
    }
};

JournalDecision decide(Journal state, const JournalMessage& message, Instant now)
{
    JournalDecision decision { std::move(state), {} };
    if (!decision.state_.isOwnershipLost())
        std::visit(JournalRules { decision.state_, decision.actions_, now }, message);
    return decision;
}

} // namespace persimmondoor::jobs
