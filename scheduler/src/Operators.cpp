#include "Operators.h"

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Text.h"

namespace persimmondoor::scheduler {

namespace asio = boost::asio;

// Longest wait of one call to the feed. Bounds the delay of a change by a dead connection; changes must be in force
// within 2 s.
static constexpr Duration feedWait = std::chrono::milliseconds(900);
static constexpr Duration readTimeout = std::chrono::milliseconds(1000);
static constexpr Duration retryInterval = std::chrono::milliseconds(150);

OperatorView apply(OperatorView view, const platform::Changes& changes)
{
    for (const platform::Changes::Item& item : changes.items_) {
        if (item.isDeleted_)
            view.rows_.erase(item.row_.key_);
        else
            view.rows_[item.row_.key_] = item.row_;
    }
    view.version_ = std::max(view.version_, changes.version_);
    return view;
}

OperatorView toView(const platform::Snapshot& snapshot)
{
    OperatorView view { snapshot.version_, {} };
    for (const store::Row& row : snapshot.rows_)
        view.rows_[row.key_] = row;
    return view;
}

static store::Condition conditionOn(const OperatorView& view, const std::string& name)
{
    auto row = view.rows_.find(name);
    return { name, row == view.rows_.end() ? store::RowVersion() : row->second.version_ };
}

std::vector<store::Condition> conditionsOf(const OperatorView& view, const std::vector<std::string>& domains)
{
    std::vector<store::Condition> conditions { conditionOn(view, platform::configurationRow()) };
    for (const std::string& domain : domains)
        conditions.push_back(conditionOn(view, platform::evacuationRow(domain)));
    return conditions;
}

std::set<std::string> evacuatedDomains(const OperatorView& view)
{
    std::set<std::string> domains;
    for (const auto& [name, row] : view.rows_) {
        auto domain = platform::evacuatedDomain(name);
        if (domain)
            domains.insert(*domain);
    }
    return domains;
}

static asio::awaitable<std::optional<OperatorView>> readSnapshot(platform::RowStore rows)
{
    auto snapshot = co_await rows.readTable(std::string(platform::operatorTable), readTimeout);
    if (snapshot.ok())
        co_return toView(*snapshot);
    logWarning("operators.unreadable", { { "reason", std::string(snapshot.status().message()) } });
    co_await sleepFor(retryInterval);
    co_return std::nullopt;
}

asio::awaitable<void> followOperators(platform::RowStore rows, OperatorView view, std::function<bool()> shouldContinue, std::function<asio::awaitable<void>(OperatorView)> handle)
{
    while (shouldContinue()) {
        auto outcome = co_await rows.follow(std::string(platform::operatorTable), view.version_, feedWait);
        const auto* changes = outcome.ok() ? std::get_if<platform::Changes>(&*outcome) : nullptr;
        if (changes) {
            view = apply(std::move(view), *changes);
        } else {
            // The feed waits for a change before it answers, so that it would show late that the store is back.
            std::optional<OperatorView> freshView;
            while (!freshView && shouldContinue())
                freshView = co_await readSnapshot(rows);
            if (!freshView)
                co_return;
            view = *std::move(freshView);
        }
        if (shouldContinue())
            co_await handle(view);
    }
}

} // namespace persimmondoor::scheduler
