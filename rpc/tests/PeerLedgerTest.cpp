#include "decisions/PeerLedger.h"

#include <boost/test/unit_test.hpp>

namespace persimmondoor::rpc {

BOOST_AUTO_TEST_SUITE(peer_ledger)

// Load: a peer that starts calls and never finishes them, or finishes those that go on.
BOOST_AUTO_TEST_CASE(call_is_held_until_it_is_both_answered_and_finished)
{
    OpenCalls calls;
    calls.start(1, 100);
    calls.start(2, 50);
    BOOST_TEST(calls.heldBytes() == 150 + 2 * messageOverheadBytes);
    calls.finish(1);
    BOOST_TEST(calls.heldBytes() == 150 + 2 * messageOverheadBytes);
    calls.answer(1);
    BOOST_TEST(calls.heldBytes() == 50 + messageOverheadBytes);
    calls.answer(2);
    BOOST_TEST(calls.heldBytes() == messageOverheadBytes);
    calls.finish(2);
    calls.finish(2);
    BOOST_TEST(calls.heldBytes() == 0U);
}

// Load: peers that do not read their answers, beside one that does.
BOOST_AUTO_TEST_CASE(connection_that_holds_most_is_closed_once_the_limit_is_exceeded)
{
    PeerLedger ledger(100);
    for (PeerNumber peer : { 1, 2, 3 })
        ledger.open(peer);
    ledger.hold(1, 10);
    ledger.hold(2, 60);
    ledger.hold(3, 30);
    BOOST_TEST(!ledger.connectionToClose().has_value());
    ledger.hold(3, 31);
    BOOST_TEST(ledger.connectionToClose().value_or(0) == 2U);
    ledger.close(2);
    BOOST_TEST(!ledger.connectionToClose().has_value());
    ledger.hold(2, 1000);
    BOOST_TEST(ledger.heldBytes() == 41U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::rpc
