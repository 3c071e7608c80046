// Compiles Boost.Beast once for the whole program.
#include <boost/beast/src.hpp>
