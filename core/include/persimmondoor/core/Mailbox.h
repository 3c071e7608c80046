/// The bounded queue of messages of one actor, and the one-shot reply to a message that asks for one. Both are
/// handles: copies refer to the same queue.
///
/// \code
/// Mailbox<Message> mailbox(executor, 1024);
/// if (!mailbox.tryPost(Tick {}))
///     ...; // full or closed: the sender handles the dropped message
/// Message message = co_await mailbox.receive();
/// \endcode
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

namespace persimmondoor {

template <typename Message>
class Mailbox {
public:
    /// \param capacity maximum number of messages that wait.
    Mailbox(const boost::asio::any_io_executor& executor, size_t capacity)
        : channel_(std::make_shared<Channel>(executor, capacity))
    {
    }

    /// Appends `message`.
    /// \return false if the mailbox is full or closed; the message is then dropped.
    bool tryPost(Message message) const { return channel_->try_send(boost::system::error_code(), std::move(message)); }

    /// Appends `message`, waiting while the mailbox is full; for messages that must not be lost.
    /// \return false if the mailbox is closed.
    boost::asio::awaitable<bool> post(Message message) const
    {
        std::shared_ptr<Channel> channel = channel_;
        boost::system::error_code error;
        std::optional<Message> held(std::move(message));
        co_await channel->async_send(boost::system::error_code(), std::move(held), boost::asio::redirect_error(boost::asio::use_awaitable, error));
        co_return !error;
    }

    /// Waits for the next message.
    /// \throws boost::system::system_error when the mailbox is closed; it ends the actor's coroutine.
    boost::asio::awaitable<Message> receive() const
    {
        std::shared_ptr<Channel> channel = channel_;
        std::optional<Message> message = co_await channel->async_receive(boost::asio::use_awaitable);
        co_return *std::move(message);
    }

    /// False once the mailbox was closed.
    bool isOpen() const { return channel_->is_open(); }

    /// Closes the mailbox and so ends the actor: a waiting `receive` fails and later messages are refused.
    void close() const
    {
        channel_->cancel();
        channel_->close();
    }

private:
    // A closed channel passes a default-constructed value; an optional spares messages a default constructor.
    using Channel = boost::asio::experimental::concurrent_channel<void(boost::system::error_code, std::optional<Message>)>;
    std::shared_ptr<Channel> channel_;
};

/// A one-shot answer to a message: the sender of the message awaits `receive`, the actor calls `send` once.
template <typename Answer>
class Reply {
public:
    explicit Reply(const boost::asio::any_io_executor& executor)
        : mailbox_(executor, 1)
    {
    }

    void send(Answer answer) const { mailbox_.tryPost(std::move(answer)); }
    boost::asio::awaitable<Answer> receive() const { return mailbox_.receive(); }

private:
    Mailbox<Answer> mailbox_;
};

} // namespace persimmondoor
