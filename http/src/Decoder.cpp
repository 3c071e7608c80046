#include "Decoder.h"

#include "Convert.h"

#include <boost/beast/http/error.hpp>

namespace persimmondoor::http {

namespace beast = boost::beast;

// Bytes that a chunk of one byte takes: its size, the byte, and two line ends.
static constexpr size_t smallestChunkBytes = 6;

template <bool isRequest>
Decoder<isRequest>::Decoder(const MessageLimits& limits)
    : limits_(limits)
{
    this->header_limit(static_cast<std::uint32_t>(limits.headerBytes_));
    this->body_limit(limits.bodyBytes_);
    this->eager(true);
}

template <bool isRequest>
size_t Decoder<isRequest>::feed(boost::asio::const_buffer bytes, boost::system::error_code& error)
{
    size_t used = this->put(bytes, error);
    usedBytes_ += used;
    // One header's worth for the header itself and one for the framing.
    if (usedBytes_ > 2 * limits_.headerBytes_ + smallestChunkBytes * body_.size())
        error = beast::http::error::buffer_overflow;
    return used;
}

template <bool isRequest>
void Decoder<isRequest>::on_field_impl(FieldName, Text name, Text value, Error& error)
{
    if (isHeaderComplete_)
        return;
    if (++headerLines_ > limits_.headerLines_) {
        error = beast::http::error::header_limit;
        return;
    }
    if (!isConnectionField(name))
        headers_.push_back({ std::string(name), std::string(value) });
}

template <bool isRequest>
void Decoder<isRequest>::on_header_impl(Error& error)
{
    isHeaderComplete_ = true;
    isWithoutLength_ = this->need_eof();
    if (isWithoutLength_)
        error = beast::http::error::bad_content_length;
}

template <bool isRequest>
size_t Decoder<isRequest>::on_body_impl(Text bytes, Error&)
{
    body_.append(bytes.data(), bytes.size());
    return bytes.size();
}

template <bool isRequest>
size_t Decoder<isRequest>::on_chunk_body_impl(uint64_t, Text bytes, Error&)
{
    body_.append(bytes.data(), bytes.size());
    return bytes.size();
}

template class Decoder<true>;
template class Decoder<false>;

void RequestDecoder::on_request_impl(beast::http::verb, beast::string_view method, beast::string_view target, int, boost::system::error_code&)
{
    method_ = std::string(method);
    target_ = std::string(target);
}

void ResponseDecoder::on_response_impl(int status, beast::string_view, int, boost::system::error_code&)
{
    status_ = status;
}

} // namespace persimmondoor::http
