// Accounts for the connections of one server and the bytes that they hold, and decides which connection is closed when a
// limit is reached: the one whose client has been awaited longest. A connection whose request is being served is never
// closed in favour of another. Answers the load of clients that open connections or start requests and do not go on.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <variant>

namespace persimmondoor::http {

// Identifies a connection within its server.
using ConnectionNumber = uint64_t;

struct RoomAvailable {
    auto operator<=>(const RoomAvailable&) const = default;
};
// This connection must be closed first.
struct RoomAfterClosing {
    ConnectionNumber connection_ { 0 };
    auto operator<=>(const RoomAfterClosing&) const = default;
};
struct NoRoom {
    auto operator<=>(const NoRoom&) const = default;
};
using Room = std::variant<RoomAvailable, RoomAfterClosing, NoRoom>;

class ConnectionLedger {
public:
    ConnectionLedger(size_t connections, size_t bytes);

    // Adds a connection whose client is awaited.
    void open(ConnectionNumber);
    // Removes a connection and what it holds. Does nothing if it is not known.
    void close(ConnectionNumber);
    // The connection waits for its client from now on, to send a request or to take a response.
    void awaitClient(ConnectionNumber);
    // The connection's request is being served.
    void serve(ConnectionNumber);
    // Sets the bytes that a connection holds.
    void hold(ConnectionNumber, size_t bytes);

    // Whether there is room for one more connection.
    Room roomForConnection() const;
    // Whether there is room for the connection to hold `bytes`. None is closed if closing all would not make room.
    Room roomToHold(ConnectionNumber, size_t bytes) const;

    size_t heldBytes() const { return heldBytes_; }

private:
    struct Entry {
        // Turn in which the client began to be awaited, or 0 while a request is being served.
        uint64_t turn_ { 0 };
        size_t bytes_ { 0 };
    };

    size_t connectionLimit_;
    size_t byteLimit_;
    std::map<ConnectionNumber, Entry> connections_;
    std::map<uint64_t, ConnectionNumber> awaited_;
    uint64_t lastTurn_ { 0 };
    size_t heldBytes_ { 0 };
};

} // namespace persimmondoor::http
