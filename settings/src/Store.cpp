#include "persimmondoor/settings/Store.h"

#include "Rows.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/settings/Subtrees.h"

namespace persimmondoor::settings {

namespace asio = boost::asio;

// Attempts to read back a change after its reply was lost.
static constexpr int readBackAttempts = 4;
static constexpr Duration readBackInterval = std::chrono::milliseconds(500);
// Maximum number of subtrees in a cell.
static constexpr size_t maximumSubtrees = 1'000;

namespace {

    // The head of a subtree and the version of its row.
    struct StoredHead {
        Subtree subtree_;
        store::RowVersion version_;
    };

} // namespace

static absl::StatusOr<StoredHead> decodeHead(const SubtreeName& name, const store::Row& row)
{
    if (row.version_ == store::RowVersion())
        return StoredHead { Subtree { name, Revision(), "", WriteId(), OperatorName(), 0 }, row.version_ };
    auto subtree = decodeRow(name, row);
    if (!subtree.ok())
        return subtree.status();
    return StoredHead { *std::move(subtree), row.version_ };
}

// The names and row keys of the revisions that are newer than those of `tree`.
static absl::StatusOr<std::vector<std::pair<SubtreeName, std::string>>> missingRevisions(const Tree& tree, const std::vector<store::Row>& heads)
{
    std::vector<std::pair<SubtreeName, std::string>> missing;
    for (const store::Row& row : heads) {
        auto name = SubtreeName::create(row.key_.substr(headPrefix.size()));
        if (!name.ok())
            return absl::DataLossError(concat("row ", row.key_, " is malformed: its key does not end in a valid subtree name"));
        auto head = decodeRow(*name, row);
        if (!head.ok())
            return head.status();
        if (head->revision_ > tree.revisionOf(*name))
            missing.emplace_back(*name, historyKey(*name, head->revision_));
    }
    return missing;
}

static std::vector<std::string> keysOf(const std::vector<std::pair<SubtreeName, std::string>>& revisions)
{
    std::vector<std::string> keys;
    keys.reserve(revisions.size());
    for (const auto& revision : revisions)
        keys.push_back(revision.second);
    return keys;
}

static absl::StatusOr<std::vector<Subtree>> decodeRevisions(const std::vector<std::pair<SubtreeName, std::string>>& revisions, const std::vector<store::Row>& rows)
{
    std::vector<Subtree> subtrees;
    for (size_t index = 0; index < rows.size(); ++index) {
        auto subtree = decodeRow(revisions[index].first, rows[index]);
        if (!subtree.ok())
            return subtree.status();
        subtrees.push_back(*std::move(subtree));
    }
    return subtrees;
}

asio::awaitable<absl::StatusOr<std::vector<Subtree>>> loadNewer(store::TableClient table, Tree tree)
{
    store::Scan range;
    range.prefix_ = headPrefix;
    range.limit_ = maximumSubtrees;
    auto heads = co_await store::scan(table, std::move(range));
    if (!heads.ok())
        co_return heads.status();
    auto missing = missingRevisions(tree, *heads);
    if (!missing.ok())
        co_return missing.status();
    if (missing->empty())
        co_return std::vector<Subtree>();
    auto rows = co_await store::read(table, keysOf(*missing));
    if (!rows.ok())
        co_return rows.status();
    co_return decodeRevisions(*missing, *rows);
}

asio::awaitable<absl::StatusOr<Subtree>> loadRevision(store::TableClient table, SubtreeName name, Revision revision)
{
    std::vector<std::string> keys(1, historyKey(name, revision));
    auto rows = co_await store::read(table, std::move(keys));
    if (!rows.ok())
        co_return rows.status();
    if (rows->front().version_ == store::RowVersion())
        co_return absl::NotFoundError(concat("no revision ", revision.value(), " of ", name.value()));
    co_return decodeRow(name, rows->front());
}

asio::awaitable<absl::StatusOr<std::vector<Subtree>>> loadHistory(store::TableClient table, SubtreeName name, Revision newest, size_t limit)
{
    store::Scan range;
    range.prefix_ = historyPrefix(name);
    range.after_ = historyKey(name, Revision(newest.value() > limit ? newest.value() - limit : 0));
    range.limit_ = limit;
    auto rows = co_await store::scan(table, std::move(range));
    if (!rows.ok())
        co_return rows.status();
    std::vector<Subtree> revisions;
    for (const store::Row& row : *rows) {
        auto subtree = decodeRow(name, row);
        if (!subtree.ok())
            co_return subtree.status();
        revisions.push_back(*std::move(subtree));
    }
    co_return revisions;
}

static store::Transaction commitOf(const Subtree& next, store::RowVersion headVersion, std::optional<store::RowVersion> operatorsVersion)
{
    store::Transaction transaction;
    transaction.conditions_.push_back({ headKey(next.name_), headVersion });
    if (operatorsVersion)
        transaction.conditions_.push_back({ headKey(SubtreeName::of(std::string(operatorsSubtree))), *operatorsVersion });
    transaction.writes_.emplace_back(store::Put { headKey(next.name_), encodeHead(next) });
    transaction.writes_.emplace_back(store::Put { historyKey(next.name_, next.revision_), encodeRevision(next) });
    if (next.revision_.value() > keptRevisions)
        transaction.writes_.emplace_back(store::Erase { historyKey(next.name_, Revision(next.revision_.value() - keptRevisions)) });
    return transaction;
}

// Finds out whether `next` was committed after its reply was lost. Reads the history row, which still shows the change
// when later revisions have replaced the head.
static asio::awaitable<WriteOutcome> readBack(store::TableClient table, Subtree next)
{
    for (int attempt = 0; attempt < readBackAttempts; ++attempt) {
        if (attempt > 0)
            co_await sleepFor(readBackInterval);
        auto stored = co_await loadRevision(table, next.name_, next.revision_);
        if (stored.ok() && stored->writeId_ == next.writeId_)
            co_return WriteAccepted { *std::move(stored), false };
        if (stored.ok())
            co_return WriteRefused { WriteRefusal::Conflict, concat("another change became revision ", next.revision_.value(), " first") };
        if (stored.status().code() == absl::StatusCode::kNotFound)
            co_return WriteUnknown { "the reply of the table service was lost and the change is not visible yet; repeat it with the same --write-id" };
    }
    co_return WriteUnknown { "the reply of the table service was lost and the change cannot be read back; repeat it with the same --write-id" };
}

static asio::awaitable<absl::StatusOr<std::optional<std::vector<Operator>>>> loadOperators(store::TableClient table, StoredHead head)
{
    std::optional<std::vector<Operator>> operators;
    if (head.version_ == store::RowVersion())
        co_return operators;
    auto stored = co_await loadRevision(table, head.subtree_.name_, head.subtree_.revision_);
    if (!stored.ok())
        co_return stored.status();
    auto parsed = parseOperators(stored->text_);
    if (!parsed.ok())
        co_return parsed.status();
    operators = *std::move(parsed);
    co_return operators;
}

static WriteRefused refusedByStore(const absl::Status& status)
{
    return { WriteRefusal::StoreUnavailable, concat("the table service: ", std::string(status.message())) };
}

static asio::awaitable<WriteOutcome> commitWrite(store::TableClient table, Subtree next, store::Transaction transaction)
{
    store::CommitOutcome outcome = co_await store::commit(table, std::move(transaction));
    if (std::holds_alternative<store::Committed>(outcome))
        co_return WriteAccepted { std::move(next), false };
    if (const auto* conflict = std::get_if<store::Conflict>(&outcome))
        co_return WriteRefused { WriteRefusal::Conflict, concat("a concurrent change was committed first to row ", conflict->key_) };
    if (const auto* unavailable = std::get_if<store::Unavailable>(&outcome))
        co_return WriteRefused { WriteRefusal::StoreUnavailable, concat("the table service: ", unavailable->detail_) };
    co_return co_await readBack(table, std::move(next));
}

static std::vector<std::string> headKeys(const SubtreeName& name)
{
    return { headKey(name), headKey(SubtreeName::of(std::string(operatorsSubtree))) };
}

asio::awaitable<WriteOutcome> writeSubtree(store::TableClient table, WriteRequest request)
{
    if (absl::Status status = checkSubtree(request.name_, request.text_); !status.ok())
        co_return WriteRefused { WriteRefusal::Invalid, std::string(status.message()) };
    auto rows = co_await store::read(table, headKeys(request.name_));
    if (!rows.ok())
        co_return refusedByStore(rows.status());
    auto head = decodeHead(request.name_, rows->at(0));
    auto operatorsHead = decodeHead(SubtreeName::of(std::string(operatorsSubtree)), rows->at(1));
    if (!head.ok() || !operatorsHead.ok())
        co_return refusedByStore(head.ok() ? operatorsHead.status() : head.status());
    auto operators = co_await loadOperators(table, *operatorsHead);
    if (!operators.ok())
        co_return refusedByStore(operators.status());
    WriteCheck check = checkWrite(request, head->subtree_, *operators);
    if (const auto* refused = std::get_if<WriteRefused>(&check))
        co_return *refused;
    if (std::holds_alternative<WriteRepeated>(check)) {
        auto stored = co_await loadRevision(table, request.name_, head->subtree_.revision_);
        if (!stored.ok())
            co_return refusedByStore(stored.status());
        co_return WriteAccepted { *std::move(stored), false };
    }
    Subtree next = std::get<WriteReady>(check).next_;
    next.acceptedMilliseconds_ = wallMilliseconds();
    if (request.dryRun_)
        co_return WriteAccepted { std::move(next), true };
    bool changesOperators = request.name_.value() == operatorsSubtree;
    store::Transaction transaction
        = commitOf(next, head->version_, changesOperators ? std::nullopt : std::optional(operatorsHead->version_));
    co_return co_await commitWrite(table, std::move(next), std::move(transaction));
}

asio::awaitable<absl::Status> seedSubtree(store::TableClient table, SubtreeName name, std::string text)
{
    Subtree first { std::move(name), Revision(1), std::move(text), WriteId::of("site-file"), OperatorName::of("site-file"), wallMilliseconds() };
    store::CommitOutcome outcome = co_await store::commit(table, commitOf(first, store::RowVersion(), std::nullopt));
    if (std::holds_alternative<store::Unavailable>(outcome) || std::holds_alternative<store::ReplyLost>(outcome))
        co_return absl::UnavailableError("the table service did not confirm the first revision from the site file");
    co_return absl::OkStatus();
}

} // namespace persimmondoor::settings
