#include "persimmondoor/rpc/MessageLimit.h"
#include "LimitedMessageStream.h"

#include <boost/test/unit_test.hpp>
#include <capnp/any.h>
#include <capnp/message.h>
#include <cstring>
#include <kj/async-io.h>

using namespace persimmondoor;

static constexpr uint64_t lists = 100;
static constexpr uint64_t wordsPerList = 100;
static constexpr uint64_t bytesPerWord = 8;

// The segment of a message whose root has only pointers to lists of bytes.
// \param isAliased all pointers have the same target.
static std::vector<uint64_t> makeSegment(bool isAliased)
{
    std::vector<uint64_t> words { lists << 48U };
    for (uint64_t index = 0; index < lists; ++index) {
        // The offset is counted from the word after the pointer.
        uint64_t offset = lists - index - 1 + (isAliased ? 0 : index * wordsPerList);
        uint64_t isList = 1;
        uint64_t ofBytes = 2;
        words.push_back((wordsPerList * bytesPerWord << 35U) | (ofBytes << 32U) | (offset << 2U) | isList);
    }
    words.resize(words.size() + wordsPerList * (isAliased ? 1 : lists));
    return words;
}

static kj::ArrayPtr<const capnp::word> segmentOf(const std::vector<uint64_t>& words)
{
    return { reinterpret_cast<const capnp::word*>(words.data()), words.size() };
}

// Number of lists that can be read before the reader refuses.
static uint64_t countReadableLists(capnp::MessageReader& message)
{
    uint64_t count = 0;
    auto failure = kj::runCatchingExceptions([&] {
        for (auto pointer : message.getRoot<capnp::AnyStruct>().getPointerSection()) {
            if (pointer.getAs<capnp::Data>().size() == wordsPerList * bytesPerWord)
                ++count;
        }
    });
    (void)failure;
    return count;
}

static uint64_t countReadableLists(const std::vector<uint64_t>& words)
{
    kj::ArrayPtr<const capnp::word> segments[] = { segmentOf(words) };
    capnp::SegmentArrayMessageReader message(segments, rpc::readerOptionsFor(words.size()));
    return countReadableLists(message);
}

BOOST_AUTO_TEST_SUITE(message_limit)

// Guards against a small message that decodes to a large value, as its pointers share their targets.
BOOST_AUTO_TEST_CASE(shared_targets_are_read_up_to_a_limit_by_the_size_of_the_message)
{
    std::vector<uint64_t> words = makeSegment(true);
    uint64_t limit = rpc::minimumTraversalWords + rpc::traversalsPerMessage * words.size();
    BOOST_TEST(countReadableLists(words) <= limit / wordsPerList);
    BOOST_TEST(countReadableLists(words) > 0U);
}

// Guards against a limit that a message without shared targets exceeds.
BOOST_AUTO_TEST_CASE(message_without_shared_targets_is_read_completely)
{
    BOOST_TEST(countReadableLists(makeSegment(false)) == lists);
}

// Guards against an error that does not tell the size of the message, its source and the limit.
BOOST_AUTO_TEST_CASE(error_states_size_source_and_limit)
{
    std::vector<uint64_t> words = makeSegment(true);
    kj::ArrayPtr<const capnp::word> segments[] = { segmentOf(words) };
    capnp::SegmentArrayMessageReader message(segments, rpc::readerOptionsFor(words.size()));
    BOOST_TEST(rpc::sizeInWords(message) == words.size());
    absl::Status status = rpc::checkTraversal(message, words.size(), "127.0.0.1:4100");
    BOOST_TEST((status.code() == absl::StatusCode::kInvalidArgument));
    BOOST_TEST(std::string(status.message()).find("a message of 201 words from 127.0.0.1:4100 cannot be read, expected at most 2632 words") == 0U);
}

// Guards against connections whose messages are read without the limit, or that end as a message exceeds it.
BOOST_AUTO_TEST_CASE(messages_of_a_connection_are_limited_one_by_one)
{
    kj::AsyncIoContext context = kj::setupAsyncIo();
    kj::TwoWayPipe pipe = kj::newTwoWayPipe();
    rpc::LimitedMessageStream sender(*pipe.ends[0], "receiver");
    rpc::LimitedMessageStream receiver(*pipe.ends[1], "sender");
    for (bool isAliased : { true, false }) {
        std::vector<uint64_t> words = makeSegment(isAliased);
        kj::ArrayPtr<const capnp::word> segments[] = { segmentOf(words) };
        kj::Promise<void> sent = sender.writeMessage(nullptr, kj::arrayPtr(segments, 1));
        kj::Own<capnp::MessageReader> message = receiver.readMessage().wait(context.waitScope);
        sent.wait(context.waitScope);
        BOOST_TEST((countReadableLists(*message) == lists) == !isAliased);
    }
}

BOOST_AUTO_TEST_SUITE_END()
