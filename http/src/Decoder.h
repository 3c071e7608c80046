// Decodes one HTTP/1.1 message from the bytes that it is fed. Knows no socket and keeps no more than its limits allow,
// whatever it is fed.
//
//   RequestDecoder decoder(limits);
//   boost::system::error_code error;
//   size_t used = decoder.feed(buffer.data(), error);
#pragma once

#include "persimmondoor/http/Message.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace persimmondoor::http {

// Bounds on one message. The framing of a chunked body, which is chunk sizes, extensions and trailers, may take as many
// bytes as a header in addition to what a body in chunks of one byte takes.
struct MessageLimits {
    size_t headerBytes_ { 0 };
    size_t headerLines_ { 0 };
    uint64_t bodyBytes_ { 0 };
    bool operator==(const MessageLimits&) const = default;
};

// What the two kinds of message have in common.
template <bool isRequest>
class Decoder : public boost::beast::http::basic_parser<isRequest> {
public:
    explicit Decoder(const MessageLimits&);

    // Decodes a part of `bytes`, which continue those of the last call that were not used.
    // Returns the number of bytes used. `error` is need_more if the message is incomplete, header_limit, body_limit or
    // buffer_overflow (of the framing) if a limit is exceeded, or names the fault.
    size_t feed(boost::asio::const_buffer bytes, boost::system::error_code& error);

    // Bytes of this message that were used so far. At least as many as it keeps of its header and body.
    size_t usedBytes() const { return usedBytes_; }
    // True if the message is refused as it states no length of its body.
    bool isWithoutLength() const { return isWithoutLength_; }
    // Maximum number of bytes that `feed` leaves unused for want of more.
    size_t maximumUnusedBytes() const { return limits_.headerBytes_; }

protected:
    std::vector<HeaderField> headers_;
    std::string body_;

private:
    using FieldName = boost::beast::http::field;
    using Text = boost::beast::string_view;
    using Error = boost::system::error_code;

    void on_field_impl(FieldName, Text name, Text value, Error&) override;
    void on_header_impl(Error&) override;
    void on_body_init_impl(const boost::optional<uint64_t>&, Error&) override { }
    size_t on_body_impl(Text, Error&) override;
    void on_chunk_header_impl(uint64_t, Text, Error&) override { }
    size_t on_chunk_body_impl(uint64_t, Text, Error&) override;
    void on_finish_impl(Error&) override { }

    MessageLimits limits_;
    size_t usedBytes_ { 0 };
    size_t headerLines_ { 0 };
    bool isHeaderComplete_ { false };
    bool isWithoutLength_ { false };
};

class RequestDecoder final : public Decoder<true> {
public:
    using Decoder::Decoder;

    // The request, once it is complete. Fields that belong to one connection and trailers are left out.
    Request release() { return { std::move(method_), std::move(target_), std::move(headers_), std::move(body_) }; }

private:
    void on_request_impl(boost::beast::http::verb, boost::beast::string_view method, boost::beast::string_view target, int version, boost::system::error_code&) override;
    void on_response_impl(int, boost::beast::string_view, int, boost::system::error_code&) override { }

    std::string method_;
    std::string target_;
};

// Rejects a response that states no length, as its end cannot be distinguished from a lost connection.
class ResponseDecoder final : public Decoder<false> {
public:
    using Decoder::Decoder;

    // The response, once it is complete. Fields that belong to one connection and trailers are left out.
    Response release() { return { status_, std::move(headers_), std::move(body_) }; }

private:
    void on_request_impl(boost::beast::http::verb, boost::beast::string_view, boost::beast::string_view, int, boost::system::error_code&) override { }
    void on_response_impl(int status, boost::beast::string_view reason, int version, boost::system::error_code&) override;

    int status_ { 0 };
};

} // namespace persimmondoor::http
