// A stream of messages whose readers are limited by the size of each message.
#pragma once

#include "decisions/PeerLedger.h"
#include "persimmondoor/core/Time.h"

#include <capnp/serialize-async.h>
#include <functional>
#include <kj/async-io.h>
#include <memory>
#include <optional>
#include <string>

namespace persimmondoor::rpc {

class LimitedMessageStream final : public capnp::MessageStream {
public:
    // `peer` names the other end in log lines. `onMessage` is called as each message is received or sent; without it the calls
    // are not accounted for.
    LimitedMessageStream(kj::AsyncIoStream&, std::string peer, std::function<void()> onMessage = nullptr);

    using capnp::MessageStream::tryReadMessage;
    using capnp::MessageStream::writeMessage;
    using capnp::MessageStream::writeMessages;
    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> files, capnp::ReaderOptions, kj::ArrayPtr<capnp::word> scratch) override;
    kj::Promise<void> writeMessage(kj::ArrayPtr<const int> files, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
    kj::Promise<void> writeMessages(kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override;
    kj::Maybe<int> getSendBufferSize() override;
    kj::Promise<void> end() override;

    // When the last whole message arrived; nothing before the first.
    std::optional<Instant> lastMessage() const { return shared_->lastMessage_; }
    // What the calls of the peer hold.
    size_t openCallBytes() const { return shared_->calls_.heldBytes(); }

private:
    // Shared with reads in flight.
    struct Shared {
        std::optional<Instant> lastMessage_;
        OpenCalls calls_;
        std::function<void()> onMessage_;
    };

    void observeSent(kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) const;

    capnp::AsyncIoMessageStream inner_;
    std::string peer_;
    std::shared_ptr<Shared> shared_ { std::make_shared<Shared>() };
};

} // namespace persimmondoor::rpc
