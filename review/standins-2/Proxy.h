// A TCP proxy. Its open connections can go silent for good without a reset, while new ones work.
#pragma once

#include "Http.h"

#include <array>
#include <boost/asio/write.hpp>
#include <memory>
#include <vector>

namespace review {

class Proxy {
public:
    Proxy(asio::io_context& context, const std::string& ip, Endpoint target)
        : context_(context)
        , target_(std::move(target))
        , acceptor_(context, asio::ip::tcp::endpoint { asio::ip::make_address(ip), 0 })
        , address_ { ip, acceptor_.local_endpoint().port() }
    {
        asio::co_spawn(context_, accept(), asio::detached);
    }

    const Endpoint& address() const { return address_; }

    // Delivers nothing any more on the connections that are open now.
    // \return their number.
    size_t silenceOpenConnections()
    {
        size_t count = 0;
        for (const std::shared_ptr<Pair>& pair : pairs_) {
            if (!pair->isClosed_ && !pair->isSilent_)
                ++count;
            pair->isSilent_ = true;
        }
        return count;
    }

private:
    struct Pair {
        asio::ip::tcp::socket client_;
        asio::ip::tcp::socket server_;
        bool isSilent_ { false };
        bool isClosed_ { false };
    };

    asio::awaitable<void> accept()
    {
        for (;;) {
            boost::system::error_code error;
            asio::ip::tcp::socket client = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            auto pair = std::make_shared<Pair>(Pair { std::move(client), asio::ip::tcp::socket(context_) });
            asio::co_spawn(context_, connect(pair), asio::detached);
        }
    }

    asio::awaitable<void> connect(std::shared_ptr<Pair> pair)
    {
        boost::system::error_code error;
        co_await pair->server_.async_connect(target_.tcp(), asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        boost::system::error_code ignored;
        pair->client_.set_option(asio::ip::tcp::no_delay(true), ignored); // NOLINT(bugprone-unused-return-value)
        pair->server_.set_option(asio::ip::tcp::no_delay(true), ignored); // NOLINT(bugprone-unused-return-value)
        pairs_.push_back(pair);
        asio::co_spawn(context_, pump(pair, pair->client_, pair->server_), asio::detached);
        asio::co_spawn(context_, pump(pair, pair->server_, pair->client_), asio::detached);
    }

    asio::awaitable<void> pump(std::shared_ptr<Pair> pair, asio::ip::tcp::socket& from, asio::ip::tcp::socket& to)
    {
        std::array<char, 65'536> buffer {};
        for (;;) {
            boost::system::error_code error;
            size_t size = co_await from.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
            // What arrives on a silent connection, its end included, is not passed on.
            if (pair->isSilent_)
                co_return;
            if (!error)
                co_await asio::async_write(to, asio::buffer(buffer.data(), size), asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                boost::system::error_code ignored;
                pair->isClosed_ = true;
                pair->client_.close(ignored); // NOLINT(bugprone-unused-return-value)
                pair->server_.close(ignored); // NOLINT(bugprone-unused-return-value)
                co_return;
            }
        }
    }

    asio::io_context& context_;
    Endpoint target_;
    asio::ip::tcp::acceptor acceptor_;
    Endpoint address_;
    std::vector<std::shared_ptr<Pair>> pairs_;
};

} // namespace review
