#include "Cells.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/pages/SVG.h"

#include <algorithm>

namespace persimmondoor::report {

using pages::escape;
using pages::Label;
using pages::Point;

// Size of a chart in pixels, of the margin for its scale, and of a line of its legend.
static constexpr double chartWidth = 900;
static constexpr double chartHeight = 200;
static constexpr double chartMargin = 60;
static constexpr double legendHeight = 18;
static constexpr int64_t ticks = 6;
// Number of colours of the style sheet.
static constexpr size_t colours = 4;

static constexpr std::string_view pageHead = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Report of a run</title><style>\n"
                                             "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse;margin:1em 0;font-size:85%}td,th{padding:.2em .5em;"
                                             "border-bottom:1px solid #ddd;text-align:left}td.number{text-align:right}svg{background:#f7f7f7;margin:.5em 0}svg text{font-size:12px}\n"
                                             "polyline{fill:none;stroke-width:1.5}.colour0{stroke:#246}.colour1{stroke:#c33}.colour2{stroke:#393}.colour3{stroke:#a6a}"
                                             ".frame{fill:none;stroke:#999}\n</style></head><body>\n<h1>Report of a run</h1>\n";

namespace {

    // Maps seconds and values to pixels.
    struct Scale {
        int64_t lastSecond_ { 1 };
        double highest_ { 1 };

        Point at(int64_t second, double value) const
        {
            double x = chartMargin + (chartWidth - 2 * chartMargin) * static_cast<double>(second) / static_cast<double>(lastSecond_);
            return { x, chartMargin / 2 + chartHeight * (1 - value / highest_) };
        }
    };

} // namespace

static Scale scaleOf(const Chart& chart)
{
    Scale scale;
    for (const Series& series : chart.series_) {
        for (const auto& [second, value] : series.values_) {
            scale.lastSecond_ = std::max(scale.lastSecond_, second);
            scale.highest_ = std::max(scale.highest_, value);
        }
    }
    return scale;
}

// Adds one line for each stretch of successive seconds.
static void addSeries(std::vector<pages::Shape>& shapes, const Series& series, size_t number, const Scale& scale)
{
    std::string style = concat("colour", number % colours);
    pages::Polyline line { {}, style };
    std::optional<int64_t> previous;
    for (const auto& [second, value] : series.values_) {
        if (previous && second != *previous + 1)
            shapes.push_back(std::exchange(line, pages::Polyline { {}, style }));
        line.points_.push_back(scale.at(second, value));
        previous = second;
    }
    shapes.push_back(std::move(line));
    double top = chartMargin + chartHeight + legendHeight * static_cast<double>(number + 1);
    shapes.push_back(pages::Line { { chartMargin, top - 4 }, { chartMargin + 20, top - 4 }, style });
    shapes.push_back(Label { { chartMargin + 26, top }, series.name_, "" });
}

static std::string chartHTML(const Chart& chart)
{
    Scale scale = scaleOf(chart);
    std::vector<pages::Shape> shapes { pages::Rectangle { scale.at(0, scale.highest_), chartWidth - 2 * chartMargin, chartHeight, "frame" } };
    shapes.push_back(Label { { 4, chartMargin / 2 + 4 }, cellText(scale.highest_), "" });
    shapes.push_back(Label { { 4, chartMargin / 2 + chartHeight }, "0", "" });
    for (int64_t tick = 0; tick <= ticks; ++tick) {
        int64_t second = scale.lastSecond_ * tick / ticks;
        Point point = scale.at(second, 0);
        shapes.push_back(Label { { point.x_, point.y_ + 16 }, concat(second, " s"), "" });
    }
    for (size_t number = 0; number < chart.series_.size(); ++number)
        addSeries(shapes, chart.series_[number], number, scale);
    double height = chartMargin + chartHeight + legendHeight * static_cast<double>(chart.series_.size() + 1);
    return concat("<h3>", escape(chart.title_), "</h3>\n", pages::toSVG({ chartWidth, height, chart.title_, std::move(shapes) }), "\n");
}

static std::string tableHTML(const Table& table)
{
    if (table.rows_.empty())
        return concat("<p>None (", escape(table.columns_.front()), ").</p>\n");
    std::string markup = "<table><tr>";
    for (const std::string& column : table.columns_)
        markup += concat("<th>", escape(column), "</th>");
    markup += "</tr>\n";
    for (const std::vector<Cell>& row : table.rows_) {
        markup += "<tr>";
        for (const Cell& cell : row)
            markup += concat(isNumber(cell) ? "<td class=\"number\">" : "<td>", escape(cellText(cell)), "</td>");
        markup += "</tr>\n";
    }
    return markup + "</table>\n";
}

std::string htmlOf(const Document& document)
{
    std::string page(pageHead);
    for (const Section& section : document.sections_) {
        page += concat("<h2>", escape(section.title_), "</h2>\n");
        for (const Block& block : section.blocks_)
            page += std::visit(Visitor { [](const Paragraph& paragraph) { return concat("<p>", escape(paragraph.text_), "</p>\n"); }, [](const Table& table) { return tableHTML(table); }, [](const Chart& chart) { return chartHTML(chart); } }, block);
    }
    return page + "</body></html>\n";
}

} // namespace persimmondoor::report
