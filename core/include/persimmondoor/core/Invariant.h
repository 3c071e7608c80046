/// Checks that stop the process when the program itself is wrong. Bad input is never an invariant: it is a
/// returned `absl::Status`.
///
/// \code
/// assertInvariant(used.fitsIn(capacity), "ledger within capacity");
/// \endcode
#pragma once

#include <boost/assert/source_location.hpp>
#include <string_view>

namespace persimmondoor {

/// Writes the invariant's name and place to the log and aborts.
[[noreturn]] void failInvariant(std::string_view name, const boost::source_location& where);

/// Aborts the process if `holds` is false.
/// \param name the invariant, as it shall appear in the log.
inline void assertInvariant(bool holds, std::string_view name, const boost::source_location& where = BOOST_CURRENT_LOCATION)
{
    if (!holds)
        failInvariant(name, where);
}

} // namespace persimmondoor
