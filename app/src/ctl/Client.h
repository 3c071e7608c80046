// The operators' API as seen from the command line: a list of entries, tried in turn.
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/http/Message.h"

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace persimmondoor::app::ctl {

// An entry answered, or the status says why none did. DeadlineExceeded and Aborted leave open whether a change was
// made; Unavailable does not.
using Answer = absl::StatusOr<http::Response>;

class Client {
public:
    Client() = default;
    Client(std::vector<Address> entries, std::string token)
        : entries_(std::move(entries))
        , token_(std::move(token))
    {
    }

    // Gets `target`, a path with its query, from the first entry that answers.
    boost::asio::awaitable<Answer> get(std::string target) const;
    // Sends a change. The next entry is tried only if the one before got no byte of the request.
    boost::asio::awaitable<Answer> send(std::string method, std::string target, std::string body) const;
    // Sends to one entry alone.
    boost::asio::awaitable<Answer> exchangeWith(Address entry, http::Request request) const;

    const std::vector<Address>& entries() const { return entries_; }

private:
    boost::asio::awaitable<Answer> exchange(http::Request request, bool repeatable) const;

    std::vector<Address> entries_;
    std::string token_;
};

} // namespace persimmondoor::app::ctl
