#include "persimmondoor/core/Ids.h"

#include "persimmondoor/core/Text.h"
#include <algorithm>
#include <cctype>

namespace persimmondoor {

static bool isNameCharacter(unsigned char character)
{
    return std::isalnum(character) || std::string_view("._-:/").find(static_cast<char>(character)) != std::string_view::npos;
}

absl::Status checkName(std::string_view text)
{
    if (text.empty())
        return absl::InvalidArgumentError("name is empty");
    if (text.size() > maximumNameBytes)
        return absl::InvalidArgumentError(concat("name is longer than ", maximumNameBytes, " bytes"));
    if (!std::all_of(text.begin(), text.end(), isNameCharacter))
        return absl::InvalidArgumentError("name has characters other than letters, digits and ._-:/");
    return absl::OkStatus();
}

} // namespace persimmondoor
