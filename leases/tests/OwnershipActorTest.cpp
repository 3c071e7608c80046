#include "persimmondoor/leases/OwnershipActor.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Visitor.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::leases;

namespace {

OwnershipSettings fastSettings()
{
    OwnershipSettings settings { ProcessName::of("entry-1"), Incarnation(1), *Address::parse("127.0.0.1:7000") };
    settings.partitionCount_ = 5;
    settings.lease_ = std::chrono::milliseconds(600);
    settings.interval_ = std::chrono::milliseconds(10);
    return settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ownership_actor)

BOOST_AUTO_TEST_CASE(claims_and_releases_all_partitions_despite_a_lost_reply)
{
    boost::asio::io_context context(1);
    store::MemoryTable table = store::MemoryTable::create();
    size_t gained = 0;
    size_t lost = 0;
    bool allOwned = false;
    auto ended = std::make_shared<bool>(false);
    std::optional<OwnershipActor> actor;
    auto release = [](OwnershipActor owner, store::MemoryTable rows, std::shared_ptr<bool> done) -> boost::asio::awaitable<void> {
        rows.inject({ .repliesToLose_ = 1 });
        co_await owner.release();
        *done = true;
    };
    auto listener = [&](const OwnershipChange& change) {
        gained += std::holds_alternative<Gained>(change) ? 1 : 0;
        lost += std::holds_alternative<Lost>(change) ? 1 : 0;
        if (gained == 5 && !allOwned) {
            allOwned = true;
            spawn(context.get_executor(), "release", release(*actor, table, ended));
        }
    };
    actor = *OwnershipActor::create(context.get_executor(), SteadyClock(), table, fastSettings(), listener);
    while (!*ended && context.run_one() > 0) { }
    BOOST_TEST(*ended);
    BOOST_TEST(lost == 5U);
    BOOST_TEST(table.state().scan({ "owner/", "", 10 }).empty());
    for (const store::Row& row : table.state().scan({ "partition/", "", 10 }))
        BOOST_TEST(decodePartitionRow(row.value_).value().owner_.empty());
}

BOOST_AUTO_TEST_SUITE_END()
