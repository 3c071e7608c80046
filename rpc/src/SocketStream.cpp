#include "SocketStream.h"

#include <boost/asio/completion_condition.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
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

SocketStream::SocketStream(asio::ip::tcp::socket socket)
    : socket_(std::make_shared<asio::ip::tcp::socket>(std::move(socket)))
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

kj::Promise<size_t> SocketStream::tryRead(void* buffer, size_t minimumBytes, size_t maximumBytes)
{
    auto pair = kj::newPromiseAndFulfiller<size_t>();
    asio::async_read(*socket_, asio::buffer(buffer, maximumBytes), asio::transfer_at_least(minimumBytes),
        [socket = socket_, fulfiller = kj::mv(pair.fulfiller)](const boost::system::error_code& error, size_t size) mutable {
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
