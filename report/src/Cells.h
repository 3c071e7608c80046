// Text of a table's cells.
#pragma once

#include "persimmondoor/report/Document.h"

namespace persimmondoor::report {

// Text of the cell: numbers with a fraction get one digit after the point.
std::string cellText(const Cell&);
// True if the cell is a number.
bool isNumber(const Cell&);

} // namespace persimmondoor::report
