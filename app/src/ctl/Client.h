// Client of the operators' API. Tries a list of entries in turn.
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/http/Message.h"

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace persimmondoor::app::ctl {

// The response of an entry, or why none answered. After Aborted the outcome of a change is unknown; after Unavailable no
// change was made.
using Answer = absl::StatusOr<http::Response>;

class Client {
public:
    Client() = default;
    Client(std::vector<Address> entries, std::string token)
        : entries_(std::move(entries))
        , token_(std::move(token))
    {
    }

    // Sends GET `target`, a path with its query, to the entries in turn until one answers.
    boost::asio::awaitable<Answer> get(std::string target) const;
    // Sends a change. The next entry is tried only if no byte of the request was sent to the previous one.
    boost::asio::awaitable<Answer> send(std::string method, std::string target, std::string body) const;
    // Sends a request to `entry` only.
    boost::asio::awaitable<Answer> exchangeWith(Address entry, http::Request request) const;

    const std::vector<Address>& entries() const { return entries_; }

private:
    boost::asio::awaitable<Answer> exchange(http::Request request, bool isRepeatable) const;

    std::vector<Address> entries_;
    std::string token_;
};

} // namespace persimmondoor::app::ctl
