// Answers of an entry survive the encoding.
#include "Codec.h"

#include <boost/test/unit_test.hpp>
#include <capnp/message.h>

namespace persimmondoor::membership {

static settings::Hint transmit(const settings::Hint& hint)
{
    capnp::MallocMessageBuilder message;
    auto wire = message.initRoot<wire::Answer>();
    encode(ViewAnswer { true, std::chrono::seconds(20), {}, hint }, wire);
    return decode(wire.asReader()).settingsHint_;
}

BOOST_AUTO_TEST_SUITE(membership_codec)

// Guards against a hint that reaches the agent as another one.
BOOST_AUTO_TEST_CASE(every_hint_is_decoded_as_it_was_encoded)
{
    const settings::Hint hints[] = { settings::UpToDate {}, settings::FetchHere {}, settings::FetchFrom { *Address::parse("127.0.0.1:7100") }, settings::AskAgain {} };
    static_assert(std::size(hints) == std::variant_size_v<settings::Hint>);
    for (const settings::Hint& hint : hints)
        BOOST_TEST((transmit(hint) == hint), "alternative " << hint.index());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::membership
