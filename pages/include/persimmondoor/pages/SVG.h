/// Drawings for pages, as SVG, and the escape of text in markup.
///
/// \code
/// Drawing drawing { 480, 80, "burn rate", { Polyline { { { 0, 80 }, { 480, 0 } }, "rate" } } };
/// std::string markup = toSVG(drawing);
/// \endcode
#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmondoor::pages {

/// Pixels from the left and the top.
struct Point {
    double x_ { 0 };
    double y_ { 0 };
    auto operator<=>(const Point&) const = default;
};

/// The last member of each shape is its class in the page's style sheet.
struct Line {
    Point from_;
    Point to_;
    std::string style_;
    bool operator==(const Line&) const = default;
};

struct Polyline {
    std::vector<Point> points_;
    std::string style_;
    bool operator==(const Polyline&) const = default;
};

struct Rectangle {
    Point corner_;
    double width_ { 0 };
    double height_ { 0 };
    std::string style_;
    bool operator==(const Rectangle&) const = default;
};

struct Circle {
    Point centre_;
    double radius_ { 0 };
    std::string style_;
    bool operator==(const Circle&) const = default;
};

struct Label {
    Point at_;
    std::string text_;
    std::string style_;
    bool operator==(const Label&) const = default;
};

using Shape = std::variant<Line, Polyline, Rectangle, Circle, Label>;

struct Drawing {
    double width_ { 0 };
    double height_ { 0 };
    /// What the drawing shows, for readers who cannot see it.
    std::string description_;
    std::vector<Shape> shapes_;
    /// Style sheet of a drawing in a file of its own; empty if it stands in a page, which has the styles.
    std::string styles_ {};
    bool operator==(const Drawing&) const = default;
};

/// \return the drawing as an SVG element.
std::string toSVG(const Drawing&);

/// \return the text with the characters replaced that have a meaning in markup.
std::string escape(std::string_view text);

} // namespace persimmondoor::pages
