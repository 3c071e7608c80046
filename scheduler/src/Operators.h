// The operators' documents as the owner of the queues has read them.
#pragma once

#include "persimmondoor/platform/OperatorDocuments.h"
#include "persimmondoor/platform/RowStore.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace persimmondoor::scheduler {

// The operators' table as of one version.
struct OperatorView {
    store::RowVersion version_;
    std::map<std::string, store::Row> rows_;
    bool operator==(const OperatorView&) const = default;
};

// Applies changes of a feed.
OperatorView apply(OperatorView, const platform::Changes&);
OperatorView toView(const platform::Snapshot&);

// Conditions that hold while nothing has changed that decides where tasks may start.
std::vector<store::Condition> conditionsOf(const OperatorView&, const std::vector<std::string>& domains);

std::set<std::string> evacuatedDomains(const OperatorView&);

// Reads the operators' table whenever it changes, and about once a second that it has not, and hands it to `take` each
// time, until `isWanted` says no.
boost::asio::awaitable<void> followOperators(platform::RowStore, OperatorView, std::function<bool()> isWanted, std::function<boost::asio::awaitable<void>(OperatorView)> handle);

} // namespace persimmondoor::scheduler
