/// A hash that is the same in every process: FNV-1a over the bytes, finalized as in SplitMix64 (Steele, Lea, Flood:
/// "Fast splittable pseudorandom number generators", 2014).
///
/// \code
/// uint64_t rank = hashOf(process.value(), partition.value());
/// \endcode
#pragma once

#include <cstdint>
#include <string_view>

namespace persimmondoor {

/// \return the hash of `text` and `salt`.
constexpr uint64_t hashOf(std::string_view text, uint64_t salt = 0)
{
    uint64_t hash = 0xcbf29ce484222325ULL;
    for (char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    hash += (salt + 1) * 0x9e3779b97f4a7c15ULL;
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31);
}

} // namespace persimmondoor
