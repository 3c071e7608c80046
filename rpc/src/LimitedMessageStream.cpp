#include "LimitedMessageStream.h"

#include "persimmondoor/core/Log.h"
#include "persimmondoor/rpc/MessageLimit.h"

namespace persimmondoor::rpc {

namespace {

    // Reads the segments of another reader under a limit of its own.
    class LimitedReader final : public capnp::MessageReader {
    public:
        LimitedReader(kj::Own<capnp::MessageReader> message, size_t messageWords)
            : capnp::MessageReader(readerOptionsFor(messageWords))
            , message_(kj::mv(message))
        {
        }

        kj::ArrayPtr<const capnp::word> getSegment(unsigned id) override { return message_->getSegment(id); }

    private:
        kj::Own<capnp::MessageReader> message_;
    };

    // A view of a reader's segments, to check them against the limit without using it up.
    class SegmentView final : public capnp::MessageReader {
    public:
        SegmentView(capnp::MessageReader& message, size_t messageWords)
            : capnp::MessageReader(readerOptionsFor(messageWords))
            , message_(message)
        {
        }

        kj::ArrayPtr<const capnp::word> getSegment(unsigned id) override { return message_.getSegment(id); }

    private:
        capnp::MessageReader& message_;
    };

} // namespace

LimitedMessageStream::LimitedMessageStream(kj::AsyncIoStream& stream, std::string peer)
    : inner_(stream)
    , peer_(std::move(peer))
{
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> LimitedMessageStream::tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> files, capnp::ReaderOptions options, kj::ArrayPtr<capnp::word> scratch)
{
    return inner_.tryReadMessage(files, options, scratch).then([peer = peer_, lastMessage = lastMessage_](kj::Maybe<capnp::MessageReaderAndFds>&& received) {
        KJ_IF_MAYBE (message, received) {
            *lastMessage = now(SteadyClock());
            size_t words = sizeInWords(*message->reader);
            SegmentView view(*message->reader, words);
            // The call that reads beyond the limit fails, and the connection goes on.
            if (absl::Status status = checkTraversal(view, words, peer); !status.ok())
                logWarning("message.over_limit", { { "reason", std::string(status.message()) } });
            message->reader = kj::heap<LimitedReader>(kj::mv(message->reader), words);
        }
        return kj::mv(received);
    });
}

kj::Promise<void> LimitedMessageStream::writeMessage(kj::ArrayPtr<const int> files, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
{
    return inner_.writeMessage(files, segments);
}

kj::Promise<void> LimitedMessageStream::writeMessages(kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages)
{
    return inner_.writeMessages(messages);
}

kj::Maybe<int> LimitedMessageStream::getSendBufferSize()
{
    return inner_.getSendBufferSize();
}

kj::Promise<void> LimitedMessageStream::end()
{
    return inner_.end();
}

} // namespace persimmondoor::rpc
