#include "persimmondoor/core/Invariant.h"

#include "persimmondoor/core/Log.h"

#include <cstdlib>
#include <string>

namespace persimmondoor {

void failInvariant(std::string_view name, const boost::source_location& where)
{
    logError("invariant.broken", { { "invariant", std::string(name) }, { "file", where.file_name() }, { "line", std::to_string(where.line()) } });
    std::abort();
}

} // namespace persimmondoor
