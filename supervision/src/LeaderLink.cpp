#include "LeaderLink.h"

#include "persimmondoor/core/Log.h"

namespace persimmondoor::supervision {

namespace asio = boost::asio;

// The leader answers within 500 ms even if it has no orders; the rest allows for a relay and a slow host.
static constexpr Duration exchangeTimeout = std::chrono::milliseconds(1000);

LeaderLink::LeaderLink(asio::any_io_executor executor, std::vector<Address> entries, LocateLeader locateLeader)
    : executor_(std::move(executor))
    , entries_(std::move(entries))
    , locateLeader_(std::move(locateLeader))
{
    if (!entries_.empty())
        currentEntry_ = entries_.front();
}

rpc::Link LeaderLink::linkTo(const Address& address)
{
    return links_.try_emplace(address, executor_, address).first->second;
}

void LeaderLink::selectEntry(const Address& address)
{
    if (address == currentEntry_)
        return;
    logInfo("owner.link", { { "entry", address.text() }, { "before", currentEntry_.text() } });
    currentEntry_ = address;
}

asio::awaitable<void> LeaderLink::switchEntry(Address failed)
{
    // Drops the connection, which may be half-open, so that the next call opens a new one.
    links_.erase(failed);
    if (failed != currentEntry_ || entries_.empty())
        co_return;
    nextEntry_ = (nextEntry_ + 1) % (entries_.size() + 1);
    if (nextEntry_ < entries_.size()) {
        selectEntry(entries_[nextEntry_]);
        co_return;
    }
    std::optional<Address> located = co_await locateLeader_();
    if (located)
        selectEntry(*located);
}

asio::awaitable<absl::StatusOr<workflow::ReportReply>> LeaderLink::exchange(workflow::AgentReport report)
{
    Address address = currentEntry_;
    auto answer = co_await workflow::exchangeAt(linkTo(address), std::move(report), exchangeTimeout);
    if (!answer.ok()) {
        logWarning("owner.lost", { { "entry", address.text() }, { "reason", std::string(answer.status().message()) } });
        co_await switchEntry(address);
        co_return answer.status();
    }
    const workflow::LeaderView& leader = answer->leader_;
    bool isNewLeader = leader.address_ && leader.epoch_ > epoch_;
    if (isNewLeader)
        epoch_ = leader.epoch_;
    if (answer->reply_) {
        // A relay returns the leader's address, which is tried directly once in each epoch.
        if (isNewLeader && leader.address_ != address)
            selectEntry(*leader.address_);
        co_return *std::move(answer->reply_);
    }
    if (isNewLeader)
        selectEntry(*leader.address_);
    else
        co_await switchEntry(address);
    co_return absl::UnavailableError("the entry cannot reach the leader of the queues");
}

} // namespace persimmondoor::supervision
