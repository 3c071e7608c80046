/// A seeded random number generator for traces.
#pragma once

#include <cmath>
#include <cstdint>
#include <numbers>

namespace persimmondoor::colocation {

/// SplitMix64 (Steele, Lea, Flood 2014).
class Random {
public:
    explicit Random(uint64_t seed)
        : state_(seed)
    {
    }

    uint64_t next()
    {
        state_ += 0x9e3779b97f4a7c15U;
        uint64_t value = state_;
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
        return value ^ (value >> 31U);
    }

    uint64_t below(uint64_t bound) { return next() % bound; }
    double unit() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }

    /// Standard normal (Box and Muller 1958).
    double normal()
    {
        double radius = std::sqrt(-2 * std::log(1 - unit()));
        return radius * std::cos(2 * std::numbers::pi * unit());
    }

private:
    uint64_t state_;
};

} // namespace persimmondoor::colocation
