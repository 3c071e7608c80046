#include "ReceiveBudget.h"

#include <boost/test/unit_test.hpp>

namespace persimmondoor::rpc {

BOOST_AUTO_TEST_SUITE(receive_budget)

// Load: peers that announce large messages and do not send them, beside one that sends an ordinary message.
BOOST_AUTO_TEST_CASE(announced_message_gives_way_to_a_smaller_one)
{
    ReceiveBudget budget(100);
    int firstClosed = 0;
    int secondClosed = 0;
    auto first = budget.take(50, [&] { ++firstClosed; });
    auto second = budget.take(50, [&] { ++secondClosed; });
    auto ordinary = budget.take(10, [] { BOOST_ERROR("the ordinary message was closed"); });
    BOOST_REQUIRE(first.has_value() && second.has_value() && ordinary.has_value());
    BOOST_TEST(firstClosed == 1);
    BOOST_TEST(secondClosed == 0);
    // Its bytes are not given back twice.
    budget.giveBack(*first);
    BOOST_TEST(budget.take(40, [] {}).has_value());
    BOOST_TEST(!budget.take(51, [] {}).has_value());
    BOOST_TEST(secondClosed == 0);
}

BOOST_AUTO_TEST_CASE(bytes_given_back_are_free_again)
{
    ReceiveBudget budget(100);
    auto number = budget.take(100, [] {});
    BOOST_REQUIRE(number.has_value());
    budget.giveBack(*number);
    BOOST_TEST(budget.take(100, [] { BOOST_ERROR("closed for a message that exceeds the budget"); }).has_value());
    BOOST_TEST(!budget.take(101, [] {}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::rpc
