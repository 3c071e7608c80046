// Accounts for what the peers of one server make the process hold: calls from their start until they are answered and finished,
// and messages that a peer has not taken yet. When all of it exceeds a limit, the connection that holds most is closed. Answers
// the load of peers that do not read their answers, or that start calls and never finish them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace persimmondoor::rpc {

// Memory that an open call, or a message that waits to be sent, takes in addition to its bytes.
inline constexpr size_t messageOverheadBytes = 10 * 1024;

// The calls of one connection. A call is open until it has been both answered and finished, in either order.
class OpenCalls {
public:
    // Numbers a call within its connection; chosen by the peer.
    using Question = uint32_t;

    void start(Question, size_t bytes);
    // The call's own message is no longer held.
    void answer(Question);
    void finish(Question);

    size_t heldBytes() const { return messageBytes_ + calls_.size() * messageOverheadBytes; }

private:
    struct Call {
        size_t bytes_ { 0 };
        bool isAnswered_ { false };
        bool isFinished_ { false };
    };
    using Calls = std::unordered_map<Question, Call>;

    void forgetBytes(Call&);

    Calls calls_;
    size_t messageBytes_ { 0 };
};

// Identifies a connection within its server.
using PeerNumber = uint64_t;

class PeerLedger {
public:
    explicit PeerLedger(size_t bytes)
        : limit_(bytes)
    {
    }

    void open(PeerNumber);
    // Removes a connection and what it holds. Does nothing if it is not known.
    void close(PeerNumber);
    // Sets the bytes that a connection holds. Does nothing if it is not known.
    void hold(PeerNumber, size_t bytes);

    // The connection that has to be closed as the limit is exceeded, if it is.
    std::optional<PeerNumber> connectionToClose() const;
    size_t heldBytes() const { return heldBytes_; }

private:
    size_t limit_;
    std::map<PeerNumber, size_t> connections_;
    size_t heldBytes_ { 0 };
};

} // namespace persimmondoor::rpc
