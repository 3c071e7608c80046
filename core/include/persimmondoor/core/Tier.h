/// Whether work is paid for. Paying work has priority over trial work in every queue.
///
/// \code
/// bool first = Tier::Paying < Tier::Trial;
/// \endcode
#pragma once

#include <string_view>

namespace persimmondoor {

enum class Tier { Paying,
    Trial };

constexpr std::string_view describe(Tier tier)
{
    return tier == Tier::Paying ? "paying" : "trial";
}

} // namespace persimmondoor
