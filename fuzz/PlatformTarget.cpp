// Fuzz target of the decoders of the platform's JSON: the first byte chooses the decoder, the rest is the message.
#include "Answers.h"
#include "Fields.h"
#include "persimmondoor/platform/ClientCalls.h"
#include "persimmondoor/platform/Heartbeats.h"
#include "persimmondoor/platform/OperatorDocuments.h"

using namespace persimmondoor;
using namespace persimmondoor::platform;

// A request whose path is the first line of the text.
static http::Request requestOf(std::string method, std::string_view text)
{
    size_t end = std::min(text.find('\n'), text.size());
    return { std::move(method), std::string(text.substr(0, end)), { { "Host", "h.example" } }, std::string(text.substr(std::min(end + 1, text.size()))) };
}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) // NOLINT(readability-identifier-naming)
{
    if (size == 0)
        return 0;
    std::string_view text(reinterpret_cast<const char*>(data + 1), size - 1);
    std::vector<store::Row> rows;
    switch (data[0] % 6) {
    case 0:
        (void)decodeRegistryRequest(requestOf("PUT", text));
        break;
    case 1:
        (void)decodeClientRequest(requestOf("POST", text));
        break;
    case 2:
        (void)decodeLists(text);
        break;
    case 3:
        (void)decodeCatalog(text);
        break;
    case 4:
        if (auto page = parseObject(text); page.ok())
            (void)appendPage(*page, rows);
        break;
    default:
        if (auto answer = parseObject(text); answer.ok())
            (void)decodeChanges(*answer);
    }
    return 0;
}
