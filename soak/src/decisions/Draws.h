// Draws from a generator whose sequence the standard fixes; its distributions differ between libraries.
#pragma once

#include "persimmondoor/core/Time.h"

#include <cstdint>
#include <random>

namespace persimmondoor::soak {

class Draws {
public:
    explicit Draws(uint64_t seed)
        : generator_(seed)
    {
    }

    uint32_t below(uint32_t bound) { return static_cast<uint32_t>(generator_() % bound); }
    Duration between(Duration least, Duration most) { return least + Duration(static_cast<int64_t>(generator_() % static_cast<uint64_t>((most - least).count() + 1))); }
    uint32_t any() { return static_cast<uint32_t>(generator_()); }

private:
    std::mt19937_64 generator_;
};

} // namespace persimmondoor::soak
