#include "QueueRows.h"

#include "HungJobs.h"
#include "LeaderRow.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Text.h"

#include <optional>
#include <string_view>

namespace persimmondoor::scheduler {

namespace asio = boost::asio;

// The part of the row's name after the table.
static std::string_view keyOf(const store::Row& row, std::string_view table)
{
    return std::string_view(row.key_).substr(table.size() + 1);
}

// Leaves the job of the row out of the queues. A key that names no job can belong to none that a client asks for.
static void leaveOut(const store::Row& row, std::string_view table, std::optional<workflow::JobSpec> spec, std::string reason, LoadedRows& loaded)
{
    logError("job.unreadable", { { "row", row.key_ }, { "row_version", std::to_string(row.version_.value()) }, { "reason", std::move(reason) } });
    if (auto id = JobId::create(std::string(keyOf(row, table))); id.ok())
        loaded.unreadableJobs_.emplace(*std::move(id), workflow::UnreadableJob { std::move(spec) });
}

static size_t taskCount(const workflow::JobSpec& spec)
{
    return size_t(spec.tasksPerOccurrence()) * spec.occurrences();
}

void joinRows(const std::vector<store::Row>& records, const std::vector<store::Row>& progress, LoadedRows& loaded)
{
    std::map<std::string_view, const store::Row*> progressByJob;
    for (const store::Row& row : progress)
        progressByJob[keyOf(row, progressTable)] = &row;
    for (const store::Row& row : records) {
        // The two rows of a job are written and erased together, but their tables are read one after the other: the job may
        // have been erased in between.
        auto found = progressByJob.extract(keyOf(row, recordTable));
        if (found.empty())
            continue;
        const store::Row& progressRow = *found.mapped();
        auto record = workflow::decodeRecord(row.value_);
        if (!record.ok()) {
            leaveOut(row, recordTable, std::nullopt, std::string(record.status().message()), loaded);
            continue;
        }
        if (record->id_.value() != keyOf(row, recordTable)) {
            leaveOut(row, recordTable, std::nullopt, concat("got a record of job ", record->id_.value()), loaded);
            continue;
        }
        if (loaded.hungJobs_.count(record->id_) > 0) {
            leaveOut(row, recordTable, std::move(record->spec_), "a leader has hung or failed in a decision about the job", loaded);
            continue;
        }
        auto decoded = workflow::decodeProgress(progressRow.value_);
        if (!decoded.ok()) {
            leaveOut(progressRow, progressTable, std::move(record->spec_), std::string(decoded.status().message()), loaded);
            continue;
        }
        if (size_t expected = taskCount(record->spec_); decoded->tasks_.size() != expected) {
            leaveOut(progressRow, progressTable, std::move(record->spec_), concat("got ", decoded->tasks_.size(), " tasks, expected ", expected), loaded);
            continue;
        }
        loaded.jobs_.push_back({ *std::move(record), *std::move(decoded) });
    }
    for (const auto& [job, row] : progressByJob)
        leaveOut(*row, progressTable, std::nullopt, "the job has no record", loaded);
}

static std::vector<JobId> cancelledJobsOf(const std::vector<store::Row>& rows)
{
    std::vector<JobId> ids;
    for (const store::Row& row : rows) {
        if (auto id = JobId::create(std::string(keyOf(row, cancellationTable))); id.ok())
            ids.push_back(*std::move(id));
        else
            logError("cancellation.unreadable", { { "row", row.key_ }, { "reason", std::string(id.status().message()) } });
    }
    return ids;
}

// The predecessor's interference estimates; none if the row is absent or unreadable, as the queues work without them.
static workflow::Interference decodeEstimates(const absl::StatusOr<store::Row>& row)
{
    if (row.ok() && row->version_ == store::RowVersion())
        return {};
    auto estimates = row.ok() ? workflow::decodeInterference(row->value_) : absl::StatusOr<workflow::Interference>(row.status());
    if (estimates.ok())
        return *std::move(estimates);
    logWarning("interference.unreadable", { { "reason", std::string(estimates.status().message()) } });
    return {};
}

asio::awaitable<absl::StatusOr<LoadedRows>> readQueueRows(platform::RowStore rows)
{
    LoadedRows loaded;
    auto chain = co_await rows.readRow(std::string(chainRow), queueReadTimeout);
    if (!chain.ok())
        co_return chain.status();
    loaded.chainVersion_ = chain->version_;
    loaded.chain_ = std::move(chain->value_);
    auto silentWorkers = co_await rows.readRow(std::string(silentWorkersRow), queueReadTimeout);
    if (!silentWorkers.ok())
        co_return silentWorkers.status();
    loaded.silentWorkers_ = std::move(silentWorkers->value_);
    auto hung = co_await rows.readTable(std::string(hungTable), queueReadTimeout);
    if (!hung.ok())
        co_return hung.status();
    loaded.hungJobs_ = hungJobsOf(hung->rows_);
    auto records = co_await rows.readTable(std::string(recordTable), queueReadTimeout);
    if (!records.ok())
        co_return records.status();
    auto progress = co_await rows.readTable(std::string(progressTable), queueReadTimeout);
    if (!progress.ok())
        co_return progress.status();
    auto cancellations = co_await rows.readTable(std::string(cancellationTable), queueReadTimeout);
    if (!cancellations.ok())
        co_return cancellations.status();
    loaded.earlyCancellations_ = cancelledJobsOf(cancellations->rows_);
    Instant sentAt = now(SteadyClock());
    auto operators = co_await rows.readTable(std::string(platform::operatorTable), queueReadTimeout);
    if (!operators.ok())
        co_return operators.status();
    loaded.clock_ = { operators->clockReadingMs_, sentAt, now(SteadyClock()) };
    loaded.operators_ = toView(*operators);
    auto estimates = co_await rows.readRow(std::string(estimatesRow), queueReadTimeout);
    loaded.interference_ = decodeEstimates(estimates);
    joinRows(records->rows_, progress->rows_, loaded);
    co_return loaded;
}

} // namespace persimmondoor::scheduler
