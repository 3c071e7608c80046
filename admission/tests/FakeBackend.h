// A service instance for tests that follows a script of behaviours, one for each request, to simulate faults.
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <memory>
#include <variant>

namespace persimmondoor::admission::testing {

// Sends the bytes after the delay, then reads the next request or closes the connection.
struct Send {
    std::string bytes_;
    Duration delay_ { 0 };
    bool closes_ { false };
};
// Closes the connection without a response.
struct Close { };
// Never responds.
struct Hang { };

using Behaviour = std::variant<Send, Close, Hang>;

inline std::string okAnswer(const std::string& body, const std::string& headers = "")
{
    return concat("HTTP/1.1 200 OK\r\n", headers, "Content-Length: ", body.size(), "\r\n\r\n", body);
}

class FakeBackend {
public:
    explicit FakeBackend(const boost::asio::any_io_executor& executor)
        : state_(std::make_shared<State>(executor))
    {
        spawn(executor, "fake backend", accept(state_));
    }

    Address address() const { return *Address::parse(concat("127.0.0.1:", state_->acceptor_.local_endpoint().port())); }
    // Sets the behaviours of the next requests; later requests get the response "plain".
    void script(std::deque<Behaviour> behaviours) const { state_->behaviours_ = std::move(behaviours); }
    int requests() const { return state_->requests_; }
    int connections() const { return state_->connections_; }
    int mostConnections() const { return state_->mostConnections_; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    struct State {
        explicit State(const boost::asio::any_io_executor& executor)
            : acceptor_(executor, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        {
        }
        boost::asio::ip::tcp::acceptor acceptor_;
        std::deque<Behaviour> behaviours_;
        int requests_ { 0 };
        int connections_ { 0 };
        int mostConnections_ { 0 };
    };

    static boost::asio::awaitable<void> accept(std::shared_ptr<State> state)
    {
        for (;;) {
            Socket socket = co_await state->acceptor_.async_accept(boost::asio::use_awaitable);
            spawn(state->acceptor_.get_executor(), "fake connection", serve(state, std::move(socket)));
        }
    }

    static boost::asio::awaitable<void> serve(std::shared_ptr<State> state, Socket socket)
    {
        state->mostConnections_ = std::max(state->mostConnections_, ++state->connections_);
        std::string buffer;
        boost::system::error_code error;
        bool open = true;
        while (open) {
            size_t size = co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (error)
                break;
            buffer.erase(0, size);
            ++state->requests_;
            Behaviour behaviour = Send { okAnswer("plain") };
            if (!state->behaviours_.empty()) {
                behaviour = state->behaviours_.front();
                state->behaviours_.pop_front();
            }
            if (const auto* send = std::get_if<Send>(&behaviour)) {
                co_await sleepFor(send->delay_);
                co_await boost::asio::async_write(socket, boost::asio::buffer(send->bytes_), boost::asio::redirect_error(boost::asio::use_awaitable, error));
                open = !send->closes_;
            } else {
                open = std::holds_alternative<Hang>(behaviour);
            }
        }
        --state->connections_;
    }

    std::shared_ptr<State> state_;
};

} // namespace persimmondoor::admission::testing
