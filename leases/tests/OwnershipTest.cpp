#include "Cell.h"

#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::leases;

namespace {

constexpr Duration second = std::chrono::seconds(1);

OwnershipSettings settings(uint32_t partitions = 8)
{
    OwnershipSettings settings;
    settings.partitionCount_ = partitions;
    settings.lease_ = 10 * second;
    settings.interval_ = 3 * second;
    settings.horizon_ = 60 * second;
    return settings;
}

void pass(Cell& cell, Duration time)
{
    for (Duration passed(0); passed < time; passed += second) {
        cell.advance(second);
        for (const std::string& violation : cell.findViolations())
            BOOST_TEST(false, violation);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ownership)

BOOST_AUTO_TEST_CASE(settings_that_cannot_work_are_refused)
{
    OwnershipSettings bad = settings();
    BOOST_TEST(!Ownership::create(bad).ok());
    bad.process_ = ProcessName::of("p");
    BOOST_TEST(Ownership::create(bad).ok());
    bad.interval_ = 4 * second;
    BOOST_TEST(!Ownership::create(bad).ok());
    bad = settings(0);
    bad.process_ = ProcessName::of("p");
    BOOST_TEST(!Ownership::create(bad).ok());
    bad = settings();
    bad.process_ = ProcessName::of("p");
    bad.horizon_ = second;
    BOOST_TEST(!Ownership::create(bad).ok());
}

BOOST_AUTO_TEST_CASE(partitions_are_spread_evenly)
{
    Cell cell(3, settings(8));
    pass(cell, 10 * second);
    BOOST_TEST(cell.isEveryPartitionOwned());
    for (size_t index = 0; index < 3; ++index)
        BOOST_TEST((cell.heldBy(index) == 2 || cell.heldBy(index) == 3));
}

BOOST_AUTO_TEST_CASE(late_process_gets_its_share)
{
    Cell cell(3, settings(9));
    cell.processes_[2].paused_ = true;
    pass(cell, 10 * second);
    BOOST_TEST(cell.heldBy(2) == 0U);
    cell.processes_[2].paused_ = false;
    pass(cell, 20 * second);
    for (size_t index = 0; index < 3; ++index)
        BOOST_TEST(cell.heldBy(index) == 3U);
}

BOOST_AUTO_TEST_CASE(processes_without_a_partition_write_nothing)
{
    Cell cell(5, settings(2));
    pass(cell, 60 * second);
    BOOST_TEST(cell.isEveryPartitionOwned());
    uint64_t before = cell.table_.counts().transactions_;
    pass(cell, 30 * second);
    // Two owners write a heartbeat every three seconds, the others write nothing.
    BOOST_TEST(cell.table_.counts().transactions_ - before <= 2U * 11U);
}

BOOST_AUTO_TEST_CASE(crashed_owner_is_deposed_after_its_lease_and_the_horizon_is_passed_on)
{
    Cell cell(2, settings(4));
    pass(cell, 10 * second);
    cell.crash(0);
    pass(cell, 8 * second);
    BOOST_TEST(cell.heldBy(1) == 2U);
    pass(cell, 12 * second);
    BOOST_TEST(cell.heldBy(1) == 4U);
    size_t inherited = 0;
    for (const auto& [partition, gained] : cell.processes_[1].held_)
        inherited += gained.horizon_ == 60 * second ? 1 : 0;
    BOOST_TEST(inherited == 2U);
}

BOOST_AUTO_TEST_CASE(released_partitions_are_claimed_at_once_without_a_horizon)
{
    Cell cell(2, settings(4));
    pass(cell, 10 * second);
    cell.deliver(0, ReleaseRequested {});
    BOOST_TEST(cell.heldBy(0) == 0U);
    cell.perform(0, CallResult::Done);
    BOOST_TEST(cell.processes_[0].state_.hasLeft());
    cell.processes_[0].crashed_ = true;
    pass(cell, 4 * second);
    BOOST_TEST(cell.heldBy(1) == 4U);
    for (const auto& [partition, gained] : cell.processes_[1].held_)
        BOOST_TEST(gained.horizon_.count() == 0);
}

BOOST_AUTO_TEST_CASE(paused_owner_loses_its_partitions_and_cannot_commit)
{
    Cell cell(2, settings(4));
    pass(cell, 10 * second);
    std::map<PartitionNumber, Gained> before = cell.processes_[0].held_;
    cell.processes_[0].paused_ = true;
    pass(cell, 25 * second);
    // Its lease has expired by its own clock, and its rows have new versions.
    BOOST_TEST((cell.now_ >= cell.processes_[0].leaseUntil_));
    for (const auto& [partition, gained] : before)
        BOOST_TEST(!cell.canCommit(0, partition));
    cell.processes_[0].paused_ = false;
    cell.advance(second);
    BOOST_TEST(cell.heldBy(0) == 0U);
}

BOOST_AUTO_TEST_CASE(heartbeat_between_the_read_and_the_claim_makes_the_claim_conflict)
{
    Cell cell(2, settings(4));
    pass(cell, 10 * second);
    cell.processes_[0].paused_ = true;
    auto aboutToClaim = [&] { return !cell.processes_[1].actions_.empty() && std::holds_alternative<Claim>(cell.processes_[1].actions_.front()); };
    while (!aboutToClaim()) {
        cell.now_ = cell.now_ + second;
        cell.beginStep(1);
        while (!cell.processes_[1].actions_.empty() && !aboutToClaim())
            cell.perform(1, CallResult::Done);
    }
    cell.processes_[0].paused_ = false;
    cell.beginStep(0);
    cell.perform(0, CallResult::Done);
    BOOST_TEST((cell.now_ < cell.processes_[0].leaseUntil_));
    while (!cell.processes_[1].actions_.empty())
        cell.perform(1, CallResult::Done);
    BOOST_TEST(cell.heldBy(1) == 2U);
    for (const std::string& violation : cell.findViolations())
        BOOST_TEST(false, violation);
    for (const auto& [partition, gained] : cell.processes_[0].held_)
        BOOST_TEST(cell.canCommit(0, partition));
}

BOOST_AUTO_TEST_CASE(store_down_for_ten_minutes_moves_nothing)
{
    OwnershipSettings longHorizon = settings(4);
    longHorizon.horizon_ = 900 * second;
    Cell cell(3, longHorizon);
    pass(cell, 10 * second);
    std::vector<std::map<PartitionNumber, Gained>> before;
    for (const Process& process : cell.processes_)
        before.push_back(process.held_);
    cell.callResult_ = CallResult::Refused;
    pass(cell, 600 * second);
    for (size_t index = 0; index < 3; ++index) {
        BOOST_TEST((cell.processes_[index].held_ == before[index]));
        BOOST_TEST((cell.now_ >= cell.processes_[index].leaseUntil_));
        BOOST_TEST((cell.now_ < cell.processes_[index].horizonUntil_));
    }
    cell.callResult_ = CallResult::Done;
    pass(cell, 30 * second);
    BOOST_TEST(cell.isEveryPartitionOwned());
    for (size_t index = 0; index < 3; ++index)
        BOOST_TEST((cell.processes_[index].held_ == before[index]));
}

BOOST_AUTO_TEST_CASE(outage_beyond_the_horizon_ends_ownership_until_the_store_returns)
{
    Cell cell(2, settings(4));
    pass(cell, 10 * second);
    cell.callResult_ = CallResult::Refused;
    pass(cell, 70 * second);
    BOOST_TEST(cell.heldBy(0) + cell.heldBy(1) == 0U);
    cell.callResult_ = CallResult::Done;
    pass(cell, 10 * second);
    BOOST_TEST(cell.isEveryPartitionOwned());
}

BOOST_AUTO_TEST_CASE(lost_replies_are_read_back)
{
    Cell cell(1, settings(3));
    for (int round = 0; round < 40; ++round) {
        cell.beginStep(0);
        while (!cell.processes_[0].actions_.empty()) {
            bool read = std::holds_alternative<ReadRows>(cell.processes_[0].actions_.front());
            cell.perform(0, read ? CallResult::Done : CallResult::ReplyLost);
        }
        cell.now_ = cell.now_ + second;
    }
    // No commit was ever confirmed, but all partitions are owned under a valid lease, each by a single claim.
    BOOST_TEST(cell.isEveryPartitionOwned());
    for (const auto& [partition, gained] : cell.processes_[0].held_)
        BOOST_TEST(gained.epoch_.value() == 1U);
}

BOOST_AUTO_TEST_CASE(restarted_process_waits_for_the_lease_of_its_earlier_incarnation)
{
    Cell cell(1, settings(2));
    pass(cell, 10 * second);
    cell.crash(0);
    cell.restart(0);
    pass(cell, 8 * second);
    BOOST_TEST(cell.heldBy(0) == 0U);
    pass(cell, 20 * second);
    BOOST_TEST(cell.isEveryPartitionOwned());
    for (const auto& [partition, gained] : cell.processes_[0].held_)
        BOOST_TEST(gained.epoch_.value() == 2U);
}

BOOST_AUTO_TEST_CASE(rows_survive_encoding_and_malformed_rows_are_refused)
{
    PartitionRow row { ProcessName::of("entry-1"), Incarnation(7), *Address::parse("127.0.0.1:7000"), Epoch(9), 60 * second, second };
    BOOST_TEST((*decodePartitionRow(encode(row)) == row));
    PartitionRow vacant { {}, {}, {}, Epoch(9), Duration(0), second };
    BOOST_TEST((*decodePartitionRow(encode(vacant)) == vacant));
    for (const char* text : { "", "a", "a 1 b 2 3 4", "a 1 127.0.0.1:1 x 3 4", "a 1 127.0.0.1:1 2 -3 4", "a 1 127.0.0.1:1 2 3 4 5" })
        BOOST_TEST(!decodePartitionRow(text).ok(), text);
}

BOOST_AUTO_TEST_CASE(malformed_row_is_not_claimed)
{
    Cell cell(1, settings(2));
    cell.table_.apply({ {}, { store::Put { partitionKey(PartitionNumber(1)), "?" } } });
    pass(cell, 20 * second);
    BOOST_TEST(cell.heldBy(0) == 1U);
    BOOST_TEST(cell.table_.read(partitionKey(PartitionNumber(1))).value_ == "?");
}

BOOST_AUTO_TEST_SUITE_END()
