/// Joins texts and numbers, for error messages. The packaged build of Abseil has its own string view type, to which
/// these functions adapt the standard one.
///
/// \code
/// return absl::NotFoundError(concat("no worker ", worker.value()));
/// \endcode
#pragma once

#include <absl/strings/str_cat.h>
#include <string>
#include <string_view>
#include <type_traits>

namespace persimmondoor {

/// Converts a standard string view to one of Abseil.
inline absl::string_view toAbseil(std::string_view text)
{
    return { text.data(), text.size() };
}

/// Concatenates all `parts`: strings, string views and numbers.
template <typename... Parts>
std::string concat(const Parts&... parts)
{
    auto adapt = []<typename Part>(const Part& part) -> absl::AlphaNum {
        if constexpr (std::is_convertible_v<const Part&, std::string_view>)
            return toAbseil(part);
        else
            return part;
    };
    return absl::StrCat(adapt(parts)...);
}

} // namespace persimmondoor
