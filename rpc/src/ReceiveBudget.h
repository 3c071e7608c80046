// The memory for messages that are being received, shared by the connections of one server.
#pragma once

#include "persimmondoor/core/Time.h"

#include <chrono>
#include <cstddef>

namespace persimmondoor::rpc {

// Shorter reads are bounded by the number of connections alone.
inline constexpr size_t smallReadBytes = 16 * 1024;
// Longest time for a message to arrive once its size is known. The connection is closed afterwards.
inline constexpr Duration messageArrivalTimeout = std::chrono::seconds(20);

class ReceiveBudget {
public:
    explicit ReceiveBudget(size_t bytes)
        : freeBytes_(bytes)
    {
    }

    // Takes `bytes` if they are free. Returns whether they were.
    bool take(size_t bytes)
    {
        if (bytes > freeBytes_)
            return false;
        freeBytes_ -= bytes;
        return true;
    }
    void giveBack(size_t bytes) { freeBytes_ += bytes; }

private:
    size_t freeBytes_;
};

} // namespace persimmondoor::rpc
