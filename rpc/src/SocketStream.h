// Adapts an Asio TCP socket to a stream of Cap'n Proto.
#pragma once

#include "ReceiveBudget.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <kj/async-io.h>
#include <memory>

namespace persimmondoor::rpc {

// Numbers of bytes sent and received.
struct StreamBytes {
    uint64_t sent_ { 0 };
    uint64_t received_ { 0 };
    bool operator==(const StreamBytes&) const = default;
};

class SocketStream final : public kj::AsyncIoStream {
public:
    // `budget` bounds what is read; nothing does if it is null.
    explicit SocketStream(boost::asio::ip::tcp::socket, std::shared_ptr<ReceiveBudget> budget = nullptr);
    ~SocketStream() noexcept(false);

    kj::Promise<size_t> read(void* buffer, size_t minimumBytes, size_t maximumBytes) override;
    kj::Promise<size_t> tryRead(void* buffer, size_t minimumBytes, size_t maximumBytes) override;
    kj::Promise<void> write(const void* buffer, size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }
    void shutdownWrite() override;
    void abortRead() override;

private:
    // Shared with the handlers of operations in flight.
    std::shared_ptr<boost::asio::ip::tcp::socket> socket_;
    std::shared_ptr<ReceiveBudget> budget_;
};

// The bytes of all streams of this thread, for measurements.
StreamBytes& threadStreamBytes();

} // namespace persimmondoor::rpc
