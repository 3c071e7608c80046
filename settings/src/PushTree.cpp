#include "persimmondoor/settings/PushTree.h"

#include "Remote.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"

#include <boost/asio/this_coro.hpp>

namespace persimmondoor::settings {

namespace asio = boost::asio;

static asio::awaitable<void> pushToBranch(PushBranch branch, std::vector<Subtree> subtrees)
{
    asio::any_io_executor executor = co_await asio::this_coro::executor;
    while (!branch.empty()) {
        Address first = branch.front();
        branch.erase(branch.begin());
        auto pushed = co_await push(rpc::Link(executor, first), subtrees, branch);
        if (pushed.ok())
            co_return;
        logDebug("settings.push_failed", { { "process", first.text() }, { "left", std::to_string(branch.size()) }, { "error", std::string(pushed.status().message()) } });
    }
}

asio::awaitable<void> pushSubtrees(std::vector<Address> receivers, std::vector<Subtree> subtrees)
{
    asio::any_io_executor executor = co_await asio::this_coro::executor;
    for (PushBranch& branch : branchesOf(receivers))
        spawn(executor, "settings push", pushToBranch(std::move(branch), subtrees));
}

} // namespace persimmondoor::settings
