#include "decisions/ConnectionLedger.h"

#include <boost/test/unit_test.hpp>

namespace persimmondoor::http {

static bool isAvailable(const Room& room)
{
    return std::holds_alternative<RoomAvailable>(room);
}

// The connection to close first, or 0 if closing none makes room.
static ConnectionNumber toClose(const Room& room)
{
    const auto* full = std::get_if<RoomAfterClosing>(&room);
    return full ? full->connection_ : 0;
}

BOOST_AUTO_TEST_SUITE(connection_ledger)

// Load: clients that open connections and send nothing, beside one whose request is being served.
BOOST_AUTO_TEST_CASE(connection_that_waits_longest_for_its_client_is_closed_first)
{
    ConnectionLedger ledger(3, 100);
    for (ConnectionNumber number : { 1, 2, 3 })
        ledger.open(number);
    ledger.serve(1);
    BOOST_TEST(toClose(ledger.roomForConnection()) == 2U);
    ledger.awaitClient(2);
    BOOST_TEST(toClose(ledger.roomForConnection()) == 3U);
    ledger.close(3);
    BOOST_TEST(isAvailable(ledger.roomForConnection()));
}

BOOST_AUTO_TEST_CASE(served_connections_are_never_closed)
{
    ConnectionLedger ledger(1, 100);
    ledger.open(1);
    ledger.serve(1);
    BOOST_TEST(std::holds_alternative<NoRoom>(ledger.roomForConnection()));
}

// Load: clients that start large requests and stop, beside one that sends a request inside the limits.
BOOST_AUTO_TEST_CASE(oldest_unfinished_request_gives_way)
{
    ConnectionLedger ledger(10, 100);
    for (ConnectionNumber number : { 1, 2, 3 })
        ledger.open(number);
    ledger.hold(2, 60);
    ledger.hold(3, 30);
    BOOST_TEST(isAvailable(ledger.roomToHold(1, 10)));
    BOOST_TEST(toClose(ledger.roomToHold(1, 11)) == 2U);
    ledger.close(2);
    BOOST_TEST(isAvailable(ledger.roomToHold(1, 70)));
    BOOST_TEST(ledger.heldBytes() == 30U);
    BOOST_TEST(std::holds_alternative<NoRoom>(ledger.roomToHold(3, 101)));
}

// Load: clients whose small requests are arriving, beside one whose request exceeds all of the memory.
BOOST_AUTO_TEST_CASE(nothing_is_closed_for_bytes_that_find_no_room_anyway)
{
    ConnectionLedger ledger(10, 100);
    for (ConnectionNumber number : { 1, 2, 3 })
        ledger.open(number);
    ledger.hold(1, 60);
    ledger.serve(1);
    ledger.hold(2, 30);
    BOOST_TEST(std::holds_alternative<NoRoom>(ledger.roomToHold(3, 101)));
    BOOST_TEST(std::holds_alternative<NoRoom>(ledger.roomToHold(3, 41)));
    BOOST_TEST(toClose(ledger.roomToHold(3, 40)) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::http
