/// Checks that abort the process on a programming error. Invalid input never fails an invariant: it is reported by an
/// `absl::Status`.
///
/// \code
/// assertInvariant(used.fitsIn(capacity), "ledger within capacity");
/// \endcode
#pragma once

#include <boost/assert/source_location.hpp>
#include <string_view>

namespace persimmondoor {

/// Logs the invariant's name and source location and aborts.
[[noreturn]] void failInvariant(std::string_view name, const boost::source_location& where);

/// Aborts the process if `holds` is false.
/// \param name the invariant, as it appears in the log.
inline void assertInvariant(bool holds, std::string_view name, const boost::source_location& where = BOOST_CURRENT_LOCATION)
{
    if (!holds)
        failInvariant(name, where);
}

} // namespace persimmondoor
