#include "SocketStream.h"

#include "OverLimitReport.h"
#include "persimmondoor/core/Text.h"

#include <boost/asio/completion_condition.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <string_view>
#include <vector>

namespace persimmondoor::rpc {

namespace asio = boost::asio;

StreamBytes& threadStreamBytes()
{
    thread_local StreamBytes bytes;
    return bytes;
}

static kj::Exception disconnected(const boost::system::error_code& error)
{
    return { kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::str(error.message().c_str()) };
}

SocketStream::SocketStream(asio::ip::tcp::socket socket, std::shared_ptr<ReceiveBudget> budget)
    : socket_(std::make_shared<asio::ip::tcp::socket>(std::move(socket)))
    , budget_(std::move(budget))
{
}

SocketStream::~SocketStream() noexcept(false)
{
    boost::system::error_code ignored;
    socket_->close(ignored); // NOLINT(bugprone-unused-return-value)
}

kj::Promise<size_t> SocketStream::read(void* buffer, size_t minimumBytes, size_t maximumBytes)
{
    return tryRead(buffer, minimumBytes, maximumBytes).then([minimumBytes](size_t size) mutable {
        if (size < minimumBytes)
            kj::throwFatalException(disconnected(asio::error::eof));
        return size;
    });
}

namespace {

    // Closes the socket if it is still there, so that its read fails.
    void abandon(const std::weak_ptr<asio::ip::tcp::socket>& socket, std::string_view reason)
    {
        auto open = socket.lock();
        if (!open)
            return;
        reportOverLimit("message.not_received", std::string(reason));
        boost::system::error_code ignored;
        open->close(ignored); // NOLINT(bugprone-unused-return-value)
    }

    // A large read that the budget has room for, while it lasts. Closes the socket if it makes too little progress.
    class LargeRead {
    public:
        LargeRead(const std::shared_ptr<asio::ip::tcp::socket>& socket, std::shared_ptr<ReceiveBudget> budget, ReadNumber number)
            : budget_(std::move(budget))
            , number_(number)
            , socket_(socket)
            , timer_(socket->get_executor())
        {
            awaitProgress();
        }
        ~LargeRead() { budget_->giveBack(number_); }
        LargeRead(const LargeRead&) = delete;
        LargeRead& operator=(const LargeRead&) = delete;

        // `bytes` of the message have arrived.
        void reach(size_t bytes)
        {
            if (bytes < awaitedBytes_)
                return;
            awaitedBytes_ = bytes + progressBytes;
            awaitProgress();
        }

    private:
        void awaitProgress()
        {
            timer_.expires_after(progressTimeout);
            timer_.async_wait([weak = socket_](const boost::system::error_code& error) {
                if (!error)
                    abandon(weak, "the message did not arrive in time");
            });
        }

        std::shared_ptr<ReceiveBudget> budget_;
        ReadNumber number_;
        std::weak_ptr<asio::ip::tcp::socket> socket_;
        asio::steady_timer timer_;
        size_t awaitedBytes_ { progressBytes };
    };

} // namespace

kj::Promise<size_t> SocketStream::tryRead(void* buffer, size_t minimumBytes, size_t maximumBytes)
{
    std::shared_ptr<LargeRead> large;
    if (budget_ && minimumBytes > smallReadBytes) {
        auto number = budget_->take(minimumBytes, [weak = std::weak_ptr(socket_)] { abandon(weak, "another message needs the memory"); });
        if (!number) {
            reportOverLimit("message.no_memory", concat("other messages are being received, got one of ", minimumBytes, " bytes"));
            return disconnected(asio::error::no_buffer_space);
        }
        large = std::make_shared<LargeRead>(socket_, budget_, *number);
    }
    auto pair = kj::newPromiseAndFulfiller<size_t>();
    auto isComplete = [large, enough = asio::transfer_at_least(minimumBytes)](const boost::system::error_code& error, size_t size) mutable {
        if (large)
            large->reach(size);
        return enough(error, size);
    };
    asio::async_read(*socket_, asio::buffer(buffer, maximumBytes), std::move(isComplete),
        [socket = socket_, large = std::move(large), fulfiller = kj::mv(pair.fulfiller)](const boost::system::error_code& error, size_t size) mutable {
            threadStreamBytes().received_ += size;
            if (!error || error == asio::error::eof)
                fulfiller->fulfill(kj::mv(size));
            else
                fulfiller->reject(disconnected(error));
        });
    return kj::mv(pair.promise);
}

// Sends all of `buffers`. The caller keeps their memory valid until the promise is fulfilled.
template <typename Buffers>
static kj::Promise<void> send(std::shared_ptr<asio::ip::tcp::socket> socket, const Buffers& buffers)
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    asio::ip::tcp::socket& target = *socket;
    asio::async_write(target, buffers, [socket = std::move(socket), fulfiller = kj::mv(pair.fulfiller)](const boost::system::error_code& error, size_t sent) mutable {
        threadStreamBytes().sent_ += sent;
        if (error)
            fulfiller->reject(disconnected(error));
        else
            fulfiller->fulfill();
    });
    return kj::mv(pair.promise);
}

kj::Promise<void> SocketStream::write(const void* buffer, size_t size)
{
    return send(socket_, asio::buffer(buffer, size));
}

kj::Promise<void> SocketStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(pieces.size());
    for (const auto& piece : pieces)
        buffers.emplace_back(piece.begin(), piece.size());
    return send(socket_, buffers);
}

void SocketStream::shutdownWrite()
{
    boost::system::error_code ignored;
    socket_->shutdown(asio::ip::tcp::socket::shutdown_send, ignored); // NOLINT(bugprone-unused-return-value)
}

void SocketStream::abortRead()
{
    boost::system::error_code ignored;
    socket_->shutdown(asio::ip::tcp::socket::shutdown_receive, ignored); // NOLINT(bugprone-unused-return-value)
}

} // namespace persimmondoor::rpc
