#include "persimmondoor/pages/SVG.h"

#include <boost/test/unit_test.hpp>

namespace persimmondoor::pages {

BOOST_AUTO_TEST_SUITE(svg)

BOOST_AUTO_TEST_CASE(each_shape_is_written_with_its_class)
{
    Drawing drawing { 100, 50, "all shapes", { Line { { 0, 1 }, { 2, 3 }, "rule" }, Polyline { { { 0, 0 }, { 1.25, 2 } }, "" }, Rectangle { { 1, 2 }, 3, 4, "frame" }, Circle { { 5, 6 }, 7, "dot" }, Label { { 8, 9 }, "tail", "" } } };
    BOOST_TEST(toSVG(drawing) == "<svg width=\"100\" height=\"50\" role=\"img\" aria-label=\"all shapes\">"
                                 "<line x1=\"0.0\" x2=\"2.0\" y1=\"1.0\" y2=\"3.0\" class=\"rule\"/><polyline points=\"0.0,0.0 1.2,2.0 \"/>"
                                 "<rect x=\"1.0\" y=\"2.0\" width=\"3.0\" height=\"4.0\" class=\"frame\"/><circle cx=\"5.0\" cy=\"6.0\" r=\"7.0\" class=\"dot\"/>"
                                 "<text x=\"8.0\" y=\"9.0\">tail</text></svg>");
}

BOOST_AUTO_TEST_CASE(drawing_of_its_own_names_its_namespace_and_holds_its_styles)
{
    BOOST_TEST(toSVG({ 1, 2, "x", {}, ".a{fill:red}" }) == "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"1\" height=\"2\" role=\"img\" aria-label=\"x\"><style>.a{fill:red}</style></svg>");
}

// Guards against markup in a name, such as that of a queue, which takes effect in the page.
BOOST_AUTO_TEST_CASE(text_cannot_become_markup)
{
    Drawing drawing { 1, 1, "\"><script>", { Label { { 0, 0 }, "<script>&", "\" onload=\"" } } };
    std::string markup = toSVG(drawing);
    BOOST_TEST(markup.find("<script>") == std::string::npos);
    BOOST_TEST(markup.find("\" onload=\"") == std::string::npos);
    BOOST_TEST(markup.find("&lt;script&gt;&amp;") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::pages
