// Fuzz target of the decoders of the queues' messages and rows: the first byte chooses the decoder, the rest is the message
// or row. Exceptions of Cap'n Proto for a malformed message are expected, as a server turns them into an error of the call.
#include "scheduler/src/LeaderRow.h"
#include "scheduler/src/LeaseRows.h"
#include "workflow/src/ExchangeCodec.h"

#include "persimmondoor/rpc/MessageLimit.h"

#include <capnp/serialize.h>
#include <cstring>

using namespace persimmondoor;
using namespace persimmondoor::workflow;

static void decodeRow(uint8_t choice, std::string_view text)
{
    switch (choice) {
    case 0:
        (void)decodeRecord(text);
        break;
    case 1:
        (void)decodeProgress(text);
        break;
    case 2:
        (void)decodeInterference(text);
        break;
    default:
        (void)scheduler::decodeClaim(text);
        (void)scheduler::decodeChain(text);
        (void)scheduler::decodeSilentWorkers(text);
    }
}

static void decodeMessage(uint8_t choice, capnp::MessageReader& message)
{
    switch (choice) {
    case 4:
        (void)decode(message.getRoot<wire::Report>());
        break;
    case 5:
        (void)decode(message.getRoot<wire::Directive>());
        break;
    case 6:
        (void)decode(message.getRoot<wire::ClientCall>());
        break;
    case 7:
        (void)decode(message.getRoot<wire::ClientAnswer>());
        break;
    default:
        (void)decode(message.getRoot<wire::Leader>());
    }
}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) // NOLINT(readability-identifier-naming)
{
    if (size == 0)
        return 0;
    uint8_t choice = data[0] % 9;
    if (choice < 4) {
        decodeRow(choice, { reinterpret_cast<const char*>(data + 1), size - 1 });
        return 0;
    }
    size_t words = (size - 1) / sizeof(capnp::word);
    kj::Array<capnp::word> copy = kj::heapArray<capnp::word>(words);
    std::memcpy(copy.begin(), data + 1, words * sizeof(capnp::word));
    try {
        capnp::FlatArrayMessageReader message(copy, rpc::readerOptionsFor(words));
        decodeMessage(choice, message);
    } catch (const kj::Exception&) {
        return 0;
    }
    return 0;
}
