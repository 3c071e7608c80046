// Reads one HTTP/1.1 message from a stream, piece by piece, into a decoder.
#pragma once

#include "persimmondoor/core/Time.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace persimmondoor::http {

// Sizes of the pieces that are read: a small one until the header is complete, as most messages are small.
inline constexpr size_t headerPieceBytes = 2 * 1024;
inline constexpr size_t bodyPieceBytes = 16 * 1024;

struct ReadTimes {
    // Until the first byte arrives.
    Duration idle_;
    // From the first byte to the last.
    Duration message_;
};

// Ends the reads of a stream after a time, and leaves the stream open for an answer. Does nothing until it is started.
class ReadDeadline {
public:
    // Does nothing if it has been started.
    void start(boost::beast::tcp_stream* stream, Duration limit)
    {
        if (timer_)
            return;
        timer_.emplace(stream->get_executor(), limit);
        timer_->async_wait([stream, weak = std::weak_ptr(hasPassed_)](const boost::system::error_code& error) {
            auto hasPassed = weak.lock();
            if (error || !hasPassed)
                return;
            *hasPassed = true;
            stream->cancel();
        });
    }
    bool hasPassed() const { return *hasPassed_; }

private:
    // Gone once the reads are over.
    std::shared_ptr<bool> hasPassed_ { std::make_shared<bool>(false) };
    std::optional<boost::asio::steady_timer> timer_;
};

// Whether bytes wait to be read.
inline bool hasInput(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    boost::system::error_code error;
    socket.non_blocking(true, error);
    return socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error) > 0 && !error;
}

// Asked before the bytes held for a message rise to the given number. Returns false to stop reading.
using Admission = std::function<bool(size_t bytes)>;

// Reads until `decoder` has decoded a message. Bytes of the next message stay in `buffer`. All pointers must stay valid.
// `times` sets the time-outs; without them those set by the caller hold.
// Returns OK, an error of the stream or of the decoder, timeout, after which the stream is open if the message has begun,
// end_of_stream if the peer closed before the first byte, partial_message if it closed within the message, or no_buffer_space
// if `admission` refused.
template <typename Decoder>
boost::asio::awaitable<boost::system::error_code> readMessage(
    boost::beast::tcp_stream* stream, boost::beast::flat_buffer* buffer, Decoder* decoder, std::optional<ReadTimes> times, Admission admission)
{
    namespace asio = boost::asio;
    using HTTPError = boost::beast::http::error;
    buffer->max_size(decoder->maximumUnusedBytes() + bodyPieceBytes);
    bool hasStarted = buffer->size() > 0;
    ReadDeadline deadline;
    if (times && !hasStarted)
        stream->expires_after(times->idle_);
    boost::system::error_code error = HTTPError::need_more;
    for (;;) {
        if (buffer->size() > 0) {
            if (admission && !admission(decoder->usedBytes() + buffer->size()))
                co_return asio::error::no_buffer_space;
            buffer->consume(decoder->feed(buffer->data(), error));
            if (decoder->is_done() || (error && error != HTTPError::need_more))
                co_return error;
        }
        if (buffer->size() > decoder->maximumUnusedBytes())
            co_return HTTPError::buffer_overflow;
        if (hasStarted && times)
            deadline.start(stream, times->message_);
        // What has arrived is read, as the process itself may have been held up.
        if (deadline.hasPassed() && !hasInput(stream->socket()))
            co_return boost::beast::error::timeout;
        size_t piece = std::min(decoder->is_header_done() ? bodyPieceBytes : headerPieceBytes, buffer->max_size() - buffer->size());
        size_t size = co_await stream->async_read_some(buffer->prepare(piece), asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted && deadline.hasPassed())
            continue;
        if (error == asio::error::eof)
            co_return hasStarted ? HTTPError::partial_message : HTTPError::end_of_stream;
        if (error)
            co_return error;
        buffer->commit(size);
        if (!hasStarted && times)
            stream->expires_never();
        hasStarted = true;
    }
}

} // namespace persimmondoor::http
