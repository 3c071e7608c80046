#include "persimmondoor/store/TableClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace persimmondoor::store;

BOOST_AUTO_TEST_SUITE(table_state)

BOOST_AUTO_TEST_CASE(second_create_of_a_row_conflicts)
{
    TableState table;
    Transaction create { { { "a", RowVersion() } }, { Put { "a", "1" } } };
    BOOST_TEST(std::holds_alternative<Committed>(table.apply(create)));
    BOOST_TEST((table.apply(create) == CommitOutcome(Conflict { "a" })));
}

BOOST_AUTO_TEST_CASE(conflict_writes_nothing)
{
    TableState table;
    table.apply({ {}, { Put { "a", "1" } } });
    table.apply({ { { "a", RowVersion() } }, { Put { "b", "2" }, Erase { "a" } } });
    BOOST_TEST(table.read("a").value_ == "1");
    BOOST_TEST(table.read("b").version_.value() == 0U);
}

BOOST_AUTO_TEST_CASE(scan_returns_rows_with_the_prefix_after_the_position)
{
    TableState table;
    table.apply({ {}, { Put { "p/1", "" }, Put { "p/2", "" }, Put { "p/3", "" }, Put { "q/1", "" } } });
    std::vector<Row> rows = table.scan({ "p/", "p/1", 10 });
    BOOST_REQUIRE_EQUAL(rows.size(), 2U);
    BOOST_TEST(rows[0].key_ == "p/2");
    BOOST_TEST(rows[1].key_ == "p/3");
}

BOOST_AUTO_TEST_CASE(lost_reply_leaves_the_write_in_effect)
{
    boost::asio::io_context context(1);
    MemoryTable table = MemoryTable::create();
    table.inject({ .repliesToLose_ = 1 });
    CommitOutcome outcome;
    boost::asio::co_spawn(context, commit(table, { {}, { Put { "a", "1" } } }), [&](const std::exception_ptr&, CommitOutcome result) { outcome = std::move(result); });
    context.run();
    BOOST_TEST(std::holds_alternative<ReplyLost>(outcome));
    BOOST_TEST(table.state().read("a").value_ == "1");
}

BOOST_AUTO_TEST_SUITE_END()
