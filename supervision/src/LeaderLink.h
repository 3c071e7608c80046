// Finds the owner of the queues among the entries and sends reports to it.
#pragma once

#include "persimmondoor/workflow/Remote.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace persimmondoor::supervision {

// Owned by one actor and used from its thread only.
class LeaderLink {
public:
    using Locate = std::function<boost::asio::awaitable<std::optional<Address>>()>;

    LeaderLink(boost::asio::any_io_executor, std::vector<Address> entries, Locate locate);

    // Sends a report to the entry in use. An entry that does not answer, or that reaches no owner, is replaced by the
    // next one for the reports to come.
    boost::asio::awaitable<absl::StatusOr<workflow::ReportReply>> exchange(workflow::AgentReport);

private:
    rpc::Link linkTo(const Address&);
    void use(const Address&);
    // Turns to another entry after a failure at `failed`; asks the store once all have failed.
    boost::asio::awaitable<void> switchEntry(Address failed);

    boost::asio::any_io_executor executor_;
    std::vector<Address> entries_;
    Locate locate_;
    std::map<Address, rpc::Link> links_;
    Address current_;
    workflow::LeaderEpoch epoch_;
    size_t next_ { 0 };
};

} // namespace persimmondoor::supervision
