#include "LeaderRow.h"

#include <boost/test/unit_test.hpp>

namespace persimmondoor::scheduler {

BOOST_AUTO_TEST_SUITE(leader_row)

BOOST_AUTO_TEST_CASE(claims_are_decoded_as_encoded)
{
    LeaderClaim claim { workflow::LeaderEpoch(7), *Address::parse("127.0.0.1:80"), 42 };
    BOOST_TEST((decodeClaim(encodeClaim(claim)).value() == claim));
    claim.address_ = std::nullopt;
    BOOST_TEST((decodeClaim(encodeClaim(claim)).value() == claim));
}

BOOST_AUTO_TEST_CASE(errors_quote_the_unreadable_row)
{
    auto errorFor = [](const std::string& text) { return std::string(decodeClaim(text).status().message()); };
    BOOST_TEST(errorFor("[7]").starts_with("unreadable leader row: got '[7]', expected a JSON object with epoch, address and nonce: "));
    BOOST_TEST(errorFor(R"({"epoch":7,"address":"here","nonce":1})") == "unreadable leader row: address: 'here' is not ip:port");
    BOOST_TEST(errorFor(std::string(5000, 'x')).size() < 500U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::scheduler
