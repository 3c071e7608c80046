// Locates the leader through the entries and sends reports to it.
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
    using LocateLeader = std::function<boost::asio::awaitable<std::optional<Address>>()>;

    LeaderLink(boost::asio::any_io_executor, std::vector<Address> entries, LocateLeader locateLeader);

    // Sends a report to the current entry. After an entry does not answer or cannot reach the leader, later reports are
    // sent to the next entry. Returns the leader's reply; Unavailable if the entry cannot reach the leader; or the error
    // of the call.
    boost::asio::awaitable<absl::StatusOr<workflow::ReportReply>> exchange(workflow::AgentReport);

private:
    rpc::Link linkTo(const Address&);
    void selectEntry(const Address&);
    // Selects another entry after a failure at `failed`. Reads the leader's address from the store once all entries
    // have failed.
    boost::asio::awaitable<void> switchEntry(Address failed);

    boost::asio::any_io_executor executor_;
    std::vector<Address> entries_;
    LocateLeader locateLeader_;
    std::map<Address, rpc::Link> links_;
    Address currentEntry_;
    workflow::LeaderEpoch epoch_;
    size_t nextEntry_ { 0 };
};

} // namespace persimmondoor::supervision
