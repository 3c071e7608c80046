// Fuzz target of the decoders of Cap'n Proto messages: the first byte chooses the decoder, the rest is a message.
// Exceptions of Cap'n Proto for a malformed message are expected, as a server turns them into an error of the call.
#include "admission/src/Codec.h"
#include "membership/src/Codec.h"
#include "settings/src/Codec.h"

#include "persimmondoor/rpc/MessageLimit.h"

#include <capnp/serialize.h>
#include <cstring>

using namespace persimmondoor;

static void decodeChosen(uint8_t choice, capnp::MessageReader& message)
{
    switch (choice % 6) {
    case 0:
        (void)membership::decode(message.getRoot<membership::wire::Announcement>());
        break;
    case 1:
        (void)membership::decode(message.getRoot<membership::wire::Answer>());
        break;
    case 2:
        (void)admission::decode(message.getRoot<admission::wire::Request>());
        break;
    case 3:
        (void)admission::decode(message.getRoot<admission::wire::Answer>());
        break;
    case 4:
        (void)settings::decode(message.getRoot<settings::wire::Settings::PushParams>().getSubtrees());
        break;
    default:
        (void)settings::decode(message.getRoot<settings::wire::Settings::FetchNewerParams>().getKnown());
    }
}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) // NOLINT(readability-identifier-naming)
{
    size_t words = size / sizeof(capnp::word);
    if (size < 1 + sizeof(capnp::word))
        return 0;
    kj::Array<capnp::word> copy = kj::heapArray<capnp::word>(words);
    std::memcpy(copy.begin(), data + 1, std::min(size - 1, words * sizeof(capnp::word)));
    try {
        capnp::FlatArrayMessageReader message(copy, rpc::readerOptionsFor(words));
        decodeChosen(data[0], message);
    } catch (const kj::Exception&) {
        return 0;
    }
    return 0;
}
