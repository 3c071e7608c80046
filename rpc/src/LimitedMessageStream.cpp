#include "LimitedMessageStream.h"

#include "OverLimitReport.h"
#include "persimmondoor/rpc/MessageLimit.h"

#include <capnp/rpc.capnp.h>

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

    // Accounts for a message of the peer. The RPC system refuses one that cannot be read.
    void observeReceived(OpenCalls& calls, capnp::MessageReader& message, size_t bytes)
    {
        auto failure = kj::runCatchingExceptions([&] {
            auto received = message.getRoot<capnp::rpc::Message>();
            if (received.isCall())
                calls.start(received.getCall().getQuestionId(), bytes);
            else if (received.isBootstrap())
                calls.start(received.getBootstrap().getQuestionId(), bytes);
            else if (received.isFinish())
                calls.finish(received.getFinish().getQuestionId());
        });
        KJ_IF_MAYBE (error, failure)
            reportOverLimit("message.malformed", error->getDescription().cStr());
    }

} // namespace

LimitedMessageStream::LimitedMessageStream(kj::AsyncIoStream& stream, std::string peer, std::function<void()> onMessage)
    : inner_(stream)
    , peer_(std::move(peer))
{
    shared_->onMessage_ = std::move(onMessage);
}

void LimitedMessageStream::observeSent(kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) const
{
    if (!shared_->onMessage_)
        return;
    capnp::SegmentArrayMessageReader message(segments);
    auto sent = message.getRoot<capnp::rpc::Message>();
    if (sent.isReturn())
        shared_->calls_.answer(sent.getReturn().getAnswerId());
    shared_->onMessage_();
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> LimitedMessageStream::tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> files, capnp::ReaderOptions options, kj::ArrayPtr<capnp::word> scratch)
{
    return inner_.tryReadMessage(files, options, scratch).then([peer = peer_, shared = shared_](kj::Maybe<capnp::MessageReaderAndFds>&& received) {
        KJ_IF_MAYBE (message, received) {
            shared->lastMessage_ = now(SteadyClock());
            size_t words = sizeInWords(*message->reader);
            SegmentView view(*message->reader, words);
            // The call that reads beyond the limit fails, and the connection goes on.
            if (absl::Status status = checkTraversal(view, words, peer); !status.ok())
                reportOverLimit("message.over_limit", std::string(status.message()));
            if (shared->onMessage_) {
                SegmentView envelope(*message->reader, words);
                observeReceived(shared->calls_, envelope, words * sizeof(capnp::word));
                shared->onMessage_();
            }
            message->reader = kj::heap<LimitedReader>(kj::mv(message->reader), words);
        }
        return kj::mv(received);
    });
}

kj::Promise<void> LimitedMessageStream::writeMessage(kj::ArrayPtr<const int> files, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
{
    observeSent(segments);
    return inner_.writeMessage(files, segments);
}

kj::Promise<void> LimitedMessageStream::writeMessages(kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages)
{
    for (auto segments : messages)
        observeSent(segments);
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
