// The operators' documents as the leader of the queues has read them.
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

// Applies changes from the feed of the operators' table.
OperatorView apply(OperatorView, const platform::Changes&);
OperatorView toView(const platform::Snapshot&);

// Conditions on the rows that decide where tasks may start: the configuration and the evacuations of `domains`. They fail
// if one of these rows has changed since the view was read.
std::vector<store::Condition> conditionsOf(const OperatorView&, const std::vector<std::string>& domains);

std::set<std::string> evacuatedDomains(const OperatorView&);

// Follows the operators' table and passes each new view to `handle`: after every change, and about once a second without
// one, as proof that the view is current. Ends once `shouldContinue` returns false.
boost::asio::awaitable<void> followOperators(platform::RowStore, OperatorView, std::function<bool()> shouldContinue, std::function<boost::asio::awaitable<void>(OperatorView)> handle);

} // namespace persimmondoor::scheduler
