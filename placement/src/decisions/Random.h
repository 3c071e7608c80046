/// Seeded random numbers that are identical on every machine and with every standard library.
///
/// \code
/// Random random(seed);
/// uint64_t index = random.below(workers.size());
/// \endcode
#pragma once

#include <cstdint>
#include <string_view>

namespace persimmondoor::placement {

/// Mixes all bits of `value` (SplitMix64; Steele, Lea, Flood 2014).
constexpr uint64_t mix(uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

/// Returns the FNV-1a hash of `text`, mixed with `seed`.
constexpr uint64_t hashOf(std::string_view text, uint64_t seed)
{
    uint64_t hash = 0xcbf29ce484222325U;
    for (char character : text)
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3U;
    return mix(hash ^ seed);
}

class Random {
public:
    explicit constexpr Random(uint64_t seed)
        : state_(mix(seed))
    {
    }

    constexpr uint64_t next()
    {
        state_ += 0x9e3779b97f4a7c15U;
        return mix(state_);
    }

    /// \param bound must be positive.
    /// \return a number from 0 to `bound` - 1, with a bias below `bound` / 2^64.
    constexpr uint64_t below(uint64_t bound) { return next() % bound; }

    /// \return a number in [0, 1).
    constexpr double unit() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }

private:
    uint64_t state_;
};

} // namespace persimmondoor::placement
