// A stream of messages whose readers are limited by the size of each message.
#pragma once

#include "persimmondoor/core/Time.h"

#include <capnp/serialize-async.h>
#include <kj/async-io.h>
#include <memory>
#include <optional>
#include <string>

namespace persimmondoor::rpc {

class LimitedMessageStream final : public capnp::MessageStream {
public:
    // `peer` names the other end in log lines.
    LimitedMessageStream(kj::AsyncIoStream&, std::string peer);

    using capnp::MessageStream::tryReadMessage;
    using capnp::MessageStream::writeMessage;
    using capnp::MessageStream::writeMessages;
    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> files, capnp::ReaderOptions, kj::ArrayPtr<capnp::word> scratch) override;
    kj::Promise<void> writeMessage(kj::ArrayPtr<const int> files, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
    kj::Promise<void> writeMessages(kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override;
    kj::Maybe<int> getSendBufferSize() override;
    kj::Promise<void> end() override;

    // When the last whole message arrived; nothing before the first.
    std::optional<Instant> lastMessage() const { return *lastMessage_; }

private:
    capnp::AsyncIoMessageStream inner_;
    std::string peer_;
    // Shared with reads in flight.
    std::shared_ptr<std::optional<Instant>> lastMessage_ { std::make_shared<std::optional<Instant>>() };
};

} // namespace persimmondoor::rpc
