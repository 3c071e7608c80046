// A stream of messages whose readers are limited by the size of each message.
#pragma once

#include <capnp/serialize-async.h>
#include <kj/async-io.h>
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

private:
    capnp::AsyncIoMessageStream inner_;
    std::string peer_;
};

} // namespace persimmondoor::rpc
