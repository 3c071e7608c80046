/// Amounts of processor, memory and accelerators: of a worker, of a task, or free.
///
/// \code
/// absl::StatusOr<Resources> worker = Resources::create(64'000, 250'000'000'000, 2);
/// bool fits = task.fitsIn(*worker - used);
/// \endcode
#pragma once

#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>

namespace persimmondoor {

class Resources {
public:
    constexpr Resources() = default;

    /// \param milliCores processors, in thousandths of a core.
    /// \param memoryBytes memory, in bytes.
    /// \param accelerators whole accelerators.
    /// \return the amounts, or InvalidArgument if one is negative.
    static absl::StatusOr<Resources> create(int64_t milliCores, int64_t memoryBytes, int64_t accelerators);

    constexpr int64_t milliCores() const { return milliCores_; }
    constexpr int64_t memoryBytes() const { return memoryBytes_; }
    constexpr int64_t accelerators() const { return accelerators_; }

    /// True if each amount is at most that of `capacity`.
    constexpr bool fitsIn(const Resources& capacity) const
    {
        return milliCores_ <= capacity.milliCores_ && memoryBytes_ <= capacity.memoryBytes_
            && accelerators_ <= capacity.accelerators_;
    }

    constexpr Resources operator+(const Resources& other) const
    {
        return Resources(milliCores_ + other.milliCores_, memoryBytes_ + other.memoryBytes_, accelerators_ + other.accelerators_);
    }

    /// Difference of each amount, at least zero.
    Resources operator-(const Resources& other) const;
    /// The memory and the accelerators only.
    constexpr Resources withoutCores() const { return Resources(0, memoryBytes_, accelerators_); }

    /// Member-wise equality. Resources are not ordered: each of two values may exceed the other in one amount.
    bool operator==(const Resources&) const = default;

private:
    constexpr Resources(int64_t milliCores, int64_t memoryBytes, int64_t accelerators)
        : milliCores_(milliCores)
        , memoryBytes_(memoryBytes)
        , accelerators_(accelerators)
    {
    }

    int64_t milliCores_ { 0 };
    int64_t memoryBytes_ { 0 };
    int64_t accelerators_ { 0 };
};

} // namespace persimmondoor
