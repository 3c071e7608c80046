#include "ConnectionLedger.h"

#include <optional>

namespace persimmondoor::http {

ConnectionLedger::ConnectionLedger(size_t connections, size_t bytes)
    : connectionLimit_(connections)
    , byteLimit_(bytes)
{
}

void ConnectionLedger::open(ConnectionNumber connection)
{
    connections_.try_emplace(connection);
    awaitClient(connection);
}

void ConnectionLedger::close(ConnectionNumber connection)
{
    auto found = connections_.find(connection);
    if (found == connections_.end())
        return;
    awaited_.erase(found->second.turn_);
    heldBytes_ -= found->second.bytes_;
    connections_.erase(found);
}

void ConnectionLedger::awaitClient(ConnectionNumber connection)
{
    auto found = connections_.find(connection);
    if (found == connections_.end())
        return;
    awaited_.erase(found->second.turn_);
    found->second.turn_ = ++lastTurn_;
    awaited_.emplace(lastTurn_, connection);
}

void ConnectionLedger::serve(ConnectionNumber connection)
{
    auto found = connections_.find(connection);
    if (found == connections_.end())
        return;
    awaited_.erase(found->second.turn_);
    found->second.turn_ = 0;
}

void ConnectionLedger::hold(ConnectionNumber connection, size_t bytes)
{
    auto found = connections_.find(connection);
    if (found == connections_.end())
        return;
    heldBytes_ += bytes - found->second.bytes_;
    found->second.bytes_ = bytes;
}

Room ConnectionLedger::roomForConnection() const
{
    if (connections_.size() < connectionLimit_)
        return RoomAvailable {};
    if (awaited_.empty())
        return NoRoom {};
    return RoomAfterClosing { awaited_.begin()->second };
}

Room ConnectionLedger::roomToHold(ConnectionNumber connection, size_t bytes) const
{
    auto asking = connections_.find(connection);
    size_t held = asking == connections_.end() ? 0 : asking->second.bytes_;
    if (heldBytes_ - held + bytes <= byteLimit_)
        return RoomAvailable {};
    size_t needed = heldBytes_ - held + bytes - byteLimit_;
    size_t closable = 0;
    std::optional<ConnectionNumber> first;
    for (const auto& [turn, other] : awaited_) {
        size_t otherBytes = other == connection ? 0 : connections_.at(other).bytes_;
        if (otherBytes > 0 && !first)
            first = other;
        closable += otherBytes;
        if (closable >= needed)
            return RoomAfterClosing { *first };
    }
    return NoRoom {};
}

} // namespace persimmondoor::http
