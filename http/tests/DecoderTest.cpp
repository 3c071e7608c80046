#include "Decoder.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/test/unit_test.hpp>

namespace persimmondoor::http {

namespace beast = boost::beast;

static constexpr MessageLimits smallLimits { 200, 4, 100 };
static const std::string chunkedHead = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

struct Decoded {
    boost::system::error_code error_;
    Request request_;
    // Largest number of bytes that waited for more.
    size_t unused_ { 0 };
};

// Feeds `text` in pieces, until the message is complete or refused.
static Decoded decode(std::string_view text, size_t pieceBytes = 16)
{
    RequestDecoder decoder(smallLimits);
    Decoded result;
    std::string waiting;
    while (!text.empty() && !decoder.is_done()) {
        waiting += text.substr(0, pieceBytes);
        text.remove_prefix(std::min(pieceBytes, text.size()));
        waiting.erase(0, decoder.feed(boost::asio::buffer(waiting), result.error_));
        result.unused_ = std::max(result.unused_, waiting.size());
        if ((result.error_ && result.error_ != beast::http::error::need_more) || waiting.size() > decoder.maximumUnusedBytes())
            return result;
    }
    if (decoder.is_done())
        result.request_ = decoder.release();
    return result;
}

static std::string repeat(std::string_view text, size_t count)
{
    std::string result;
    for (size_t index = 0; index < count; ++index)
        result += text;
    return result;
}

BOOST_AUTO_TEST_SUITE(http_decoder)

// A client may send its body in any chunks: the bound on their framing refused bodies in chunks of one byte.
BOOST_AUTO_TEST_CASE(body_in_chunks_of_one_byte_is_decoded_up_to_its_limit)
{
    Decoded decoded = decode(chunkedHead + repeat("1\r\nx\r\n", smallLimits.bodyBytes_) + "0\r\n\r\n");
    BOOST_TEST(!decoded.error_);
    BOOST_TEST(decoded.request_.body_ == std::string(smallLimits.bodyBytes_, 'x'));
}

BOOST_AUTO_TEST_CASE(requests_inside_the_limits_are_decoded_whatever_the_pieces)
{
    Request expected { "POST", "/a", { { "Host", "h" } }, "hello" };
    std::string text = chunkedHead + "2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nX: y\r\n\r\n";
    for (size_t piece : { 1U, 7U, 1000U }) {
        Decoded decoded = decode(text, piece);
        BOOST_TEST(!decoded.error_);
        BOOST_TEST((decoded.request_ == expected));
    }
    BOOST_TEST((decode("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello").request_ == expected));
}

// Guards against a message that is kept without bound while its end is awaited.
BOOST_AUTO_TEST_CASE(nothing_is_kept_beyond_the_limits)
{
    for (const std::string& endless : { "0\r\nX: " + repeat("a", 5000), "0\r\n" + repeat("a: b\r\n", 1000), "5;x=" + repeat("a", 5000), repeat("0", 5000) }) {
        Decoded decoded = decode(chunkedHead + endless);
        BOOST_TEST(decoded.unused_ <= smallLimits.headerBytes_ + 16);
        BOOST_TEST(decoded.request_.method_ != "POST");
    }
    Decoded chunks = decode(chunkedHead + repeat("1\r\na\r\n", 1000));
    BOOST_TEST((chunks.error_ == beast::http::error::buffer_overflow || chunks.error_ == beast::http::error::body_limit));
}

BOOST_AUTO_TEST_CASE(oversized_parts_are_told_apart)
{
    BOOST_TEST((decode("GET /a HTTP/1.1\r\n" + repeat("a: b\r\n", 5) + "\r\n").error_ == beast::http::error::header_limit));
    BOOST_TEST((decode("GET /" + repeat("a", 300)).error_ == beast::http::error::header_limit));
    BOOST_TEST((decode("POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n").error_ == beast::http::error::body_limit));
    BOOST_TEST((decode(chunkedHead + repeat("1;" + repeat("x", 20) + "\r\na\r\n", 50)).error_ == beast::http::error::buffer_overflow));
}

BOOST_AUTO_TEST_CASE(trailers_do_not_become_headers)
{
    Decoded decoded = decode(chunkedHead + "0\r\nHost: other\r\nX: y\r\n\r\n");
    BOOST_TEST(decoded.request_.headers_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(response_without_a_length_is_refused)
{
    ResponseDecoder decoder({ 200, 4, 100 });
    boost::system::error_code error;
    std::string text = "HTTP/1.1 200 OK\r\n\r\n";
    decoder.feed(boost::asio::buffer(text), error);
    BOOST_TEST(error.failed());
    BOOST_TEST(decoder.isWithoutLength());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::http
