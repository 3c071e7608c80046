#include "LeaderLink.h"

#include "persimmondoor/core/Log.h"

namespace persimmondoor::supervision {

namespace asio = boost::asio;

// The owner answers within 500 ms even without news; the rest is for a relay and a slow host.
static constexpr Duration exchangeTimeout = std::chrono::milliseconds(1000);

LeaderLink::LeaderLink(asio::any_io_executor executor, std::vector<Address> entries, Locate locate)
    : executor_(std::move(executor))
    , entries_(std::move(entries))
    , locate_(std::move(locate))
{
    if (!entries_.empty())
        current_ = entries_.front();
}

rpc::Link LeaderLink::linkTo(const Address& address)
{
    return links_.try_emplace(address, executor_, address).first->second;
}

void LeaderLink::use(const Address& address)
{
    if (address == current_)
        return;
    logInfo("owner.link", { { "entry", address.text() }, { "before", current_.text() } });
    current_ = address;
}

asio::awaitable<void> LeaderLink::switchEntry(Address failed)
{
    // A connection that went silent is made anew.
    links_.erase(failed);
    if (failed != current_ || entries_.empty())
        co_return;
    next_ = (next_ + 1) % (entries_.size() + 1);
    if (next_ < entries_.size()) {
        use(entries_[next_]);
        co_return;
    }
    std::optional<Address> located = co_await locate_();
    if (located)
        use(*located);
}

asio::awaitable<absl::StatusOr<workflow::ReportReply>> LeaderLink::exchange(workflow::AgentReport report)
{
    Address address = current_;
    auto answer = co_await workflow::exchangeAt(linkTo(address), std::move(report), exchangeTimeout);
    if (!answer.ok()) {
        logWarning("owner.lost", { { "entry", address.text() }, { "reason", std::string(answer.status().message()) } });
        co_await switchEntry(address);
        co_return answer.status();
    }
    const workflow::LeaderView& leader = answer->leader_;
    bool isNews = leader.address_ && leader.epoch_ > epoch_;
    if (isNews)
        epoch_ = leader.epoch_;
    if (answer->reply_) {
        // A relay says where the owner is; it is tried directly once for each epoch.
        if (isNews && leader.address_ != address)
            use(*leader.address_);
        co_return *std::move(answer->reply_);
    }
    if (isNews)
        use(*leader.address_);
    else
        co_await switchEntry(address);
    co_return absl::UnavailableError("the entry reaches no owner");
}

} // namespace persimmondoor::supervision
