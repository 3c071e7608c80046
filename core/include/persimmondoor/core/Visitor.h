/// Builds a visitor of a `std::variant` from lambdas.
///
/// \code
/// std::visit(Visitor { [](const Done&) {}, [](const NotRun&) {}, [](const Unknown&) {} }, outcome);
/// \endcode
#pragma once

namespace persimmondoor {

template <typename... Functions>
struct Visitor : Functions... {
    using Functions::operator()...;
};

template <typename... Functions>
Visitor(Functions...) -> Visitor<Functions...>;

} // namespace persimmondoor
