// Fuzz target of the HTTP decoder: the first byte chooses the kind of message and the size of the pieces in which the rest is
// fed. Aborts if the decoder keeps more than its limits allow.
#include "Decoder.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <cstdlib>
#include <string>
#include <string_view>

using namespace persimmondoor::http;

static constexpr MessageLimits limits { 256, 8, 512 };
static constexpr size_t maximumPieceBytes = 128;

template <typename Decoder>
static void decode(std::string_view text, size_t pieceBytes)
{
    Decoder decoder(limits);
    std::string waiting;
    boost::system::error_code error;
    while (!text.empty() && !decoder.is_done()) {
        waiting += text.substr(0, pieceBytes);
        text.remove_prefix(std::min(pieceBytes, text.size()));
        waiting.erase(0, decoder.feed(boost::asio::buffer(waiting), error));
        if (error && error != boost::beast::http::error::need_more)
            return;
        if (waiting.size() > decoder.maximumUnusedBytes())
            return;
        if (decoder.usedBytes() > 2 * limits.headerBytes_ + 2 * limits.bodyBytes_)
            std::abort();
    }
    if (decoder.is_done()) {
        auto message = decoder.release();
        if (message.body_.size() > limits.bodyBytes_ || message.headers_.size() > limits.headerLines_)
            std::abort();
    }
}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) // NOLINT(readability-identifier-naming)
{
    if (size == 0)
        return 0;
    std::string_view text(reinterpret_cast<const char*>(data + 1), size - 1);
    size_t pieceBytes = 1 + data[0] / 2 % maximumPieceBytes;
    if (data[0] % 2 == 0)
        decode<RequestDecoder>(text, pieceBytes);
    else
        decode<ResponseDecoder>(text, pieceBytes);
    return 0;
}
