#include "persimmondoor/pages/SVG.h"

#include "persimmondoor/core/Text.h"

#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

namespace persimmondoor::pages {

std::string escape(std::string_view text)
{
    return absl::StrReplaceAll(toAbseil(text), { { "&", "&amp;" }, { "<", "&lt;" }, { ">", "&gt;" }, { "\"", "&quot;" } });
}

static std::string classOf(const std::string& style)
{
    return style.empty() ? "" : concat(" class=\"", escape(style), "\"");
}

namespace {

    struct ShapeWriter {
        std::string operator()(const Line& line) const
        {
            return absl::StrFormat("<line x1=\"%.1f\" x2=\"%.1f\" y1=\"%.1f\" y2=\"%.1f\"%s/>", line.from_.x_, line.to_.x_, line.from_.y_, line.to_.y_, classOf(line.style_));
        }
        std::string operator()(const Polyline& polyline) const
        {
            std::string points;
            for (const Point& point : polyline.points_)
                points += absl::StrFormat("%.1f,%.1f ", point.x_, point.y_);
            return concat("<polyline points=\"", points, "\"", classOf(polyline.style_), "/>");
        }
        std::string operator()(const Rectangle& rectangle) const
        {
            return absl::StrFormat("<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\"%s/>", rectangle.corner_.x_, rectangle.corner_.y_, rectangle.width_, rectangle.height_, classOf(rectangle.style_));
        }
        std::string operator()(const Circle& circle) const
        {
            return absl::StrFormat("<circle cx=\"%.1f\" cy=\"%.1f\" r=\"%.1f\"%s/>", circle.centre_.x_, circle.centre_.y_, circle.radius_, classOf(circle.style_));
        }
        std::string operator()(const Label& label) const
        {
            return absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\"%s>%s</text>", label.at_.x_, label.at_.y_, classOf(label.style_), escape(label.text_));
        }
    };

} // namespace

std::string toSVG(const Drawing& drawing)
{
    bool isFile = !drawing.styles_.empty();
    std::string markup = absl::StrFormat("<svg%s width=\"%.0f\" height=\"%.0f\" role=\"img\" aria-label=\"%s\">", isFile ? " xmlns=\"http://www.w3.org/2000/svg\"" : "", drawing.width_, drawing.height_, escape(drawing.description_));
    if (isFile)
        markup += concat("<style>", drawing.styles_, "</style>");
    for (const Shape& shape : drawing.shapes_)
        markup += std::visit(ShapeWriter {}, shape);
    return markup + "</svg>";
}

} // namespace persimmondoor::pages
