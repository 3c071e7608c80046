// The memory for messages that are being received, shared by the connections of one server.
#pragma once

#include "persimmondoor/core/Time.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace persimmondoor::rpc {

// Shorter reads are bounded by the number of connections alone.
inline constexpr size_t smallReadBytes = 16 * 1024;
// Longest time for so many bytes of a larger message to arrive, or for its rest. The connection is closed afterwards.
inline constexpr Duration progressTimeout = std::chrono::seconds(20);
inline constexpr size_t progressBytes = 64 * 1024;

// Identifies a read within its budget.
using ReadNumber = uint64_t;

// A read that finds no room closes one that is at least as large, the largest and among equals the oldest, so that a few large
// messages that do not arrive keep no smaller ones out.
class ReceiveBudget {
public:
    explicit ReceiveBudget(size_t bytes)
        : freeBytes_(bytes)
    {
    }

    // Takes `bytes` for a read. `close` ends the read if another one needs its bytes, which count as given back by then.
    // Returns the number of the read, or nothing if there is no room.
    std::optional<ReadNumber> take(size_t bytes, std::function<void()> close)
    {
        if (bytes > freeBytes_ && !closeOneOfAtLeast(bytes))
            return std::nullopt;
        freeBytes_ -= bytes;
        reads_.emplace(++lastNumber_, Read { bytes, std::move(close) });
        return lastNumber_;
    }

    // Gives back the bytes of a read. Does nothing if it was closed for another one.
    void giveBack(ReadNumber number)
    {
        auto found = reads_.find(number);
        if (found == reads_.end())
            return;
        freeBytes_ += found->second.bytes_;
        reads_.erase(found);
    }

private:
    struct Read {
        size_t bytes_ { 0 };
        std::function<void()> close_;
    };

    bool closeOneOfAtLeast(size_t bytes)
    {
        auto largest = std::max_element(reads_.begin(), reads_.end(), [](const auto& left, const auto& right) { return left.second.bytes_ < right.second.bytes_; });
        if (largest == reads_.end() || largest->second.bytes_ < bytes)
            return false;
        std::function<void()> close = std::move(largest->second.close_);
        giveBack(largest->first);
        close();
        return true;
    }

    size_t freeBytes_;
    std::map<ReadNumber, Read> reads_;
    ReadNumber lastNumber_ { 0 };
};

} // namespace persimmondoor::rpc
