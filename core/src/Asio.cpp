// Compiles Boost.Asio once for the whole program.
#include <boost/asio/impl/src.hpp>
