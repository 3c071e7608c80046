#include "Writer.h"

#include "persimmondoor/core/Text.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <cmath>

namespace persimmondoor::capacity {

const Slope& Writer::slope(std::string_view name)
{
    for (const Slope& slope : slopes_) {
        if (slope.name_ == name)
            return slope;
    }
    if (missing_.empty())
        missing_ = name;
    static const Slope none;
    return none;
}

double Writer::costAt(std::string_view name, double size)
{
    const Slope& line = slope(name);
    return std::max(0.0, line.intercept_ + line.perUnit_ * size);
}

double Writer::costAtLargestSize(std::string_view name)
{
    const Slope& line = slope(name);
    return line.points_.empty() ? 0 : line.points_.back().cost_;
}

void Writer::text(std::string_view text)
{
    page_ += concat(text, "\n");
}

void Writer::slopes()
{
    text("## Slopes\n");
    text("| slope | sizes | cost at size 0 | cost of one more | residual |");
    text("| --- | --- | --- | --- | --- |");
    for (const Slope& slope : slopes_) {
        std::string sizes;
        for (const Point& point : slope.points_)
            sizes += concat(sizes.empty() ? "" : ", ", number(point.size_));
        text(concat("| `", slope.name_, "` | ", sizes, " ", slope.sizeUnit_, " | ", absl::StrFormat("%.4g %s", slope.intercept_, slope.costUnit_), " | ",
            absl::StrFormat("%.4g %s", slope.perUnit_, slope.costUnit_), " | ", absl::StrFormat("%.1f%%", 100 * slope.residual_), " |"));
    }
    text("");
}

void Writer::startRows()
{
    text("| limit | how it follows | need | allowance | margin | carried by |");
    text("| --- | --- | --- | --- | --- | --- |");
}

void Writer::row(const Row& row)
{
    bool over = row.need_ > row.allowance_;
    std::string margin = over ? absl::StrFormat("**over, x %.1f**", row.need_ / row.allowance_) : absl::StrFormat("%.0f%%", 100 * (1 - row.need_ / row.allowance_));
    text(concat("| ", row.limit_, " | ", row.formula_, " | ", number(row.need_), " ", row.unit_, " | ", number(row.allowance_), " ", row.unit_, " | ", margin, " | ",
        row.mechanism_, " |"));
}

std::string Writer::number(double value)
{
    if (value == 0)
        return "0";
    double scale = std::pow(10, std::floor(std::log10(std::abs(value))) - 2);
    double rounded = std::round(value / scale) * scale;
    if (rounded < 100)
        return absl::StrFormat("%.3g", rounded);
    std::string digits = absl::StrFormat("%.0f", rounded);
    for (int position = static_cast<int>(digits.size()) - 3; position > 0; position -= 3)
        digits.insert(static_cast<size_t>(position), ",");
    return digits;
}

absl::StatusOr<std::string> Writer::finish() const
{
    if (!missing_.empty())
        return absl::NotFoundError(concat("no slope named ", missing_));
    return page_;
}

} // namespace persimmondoor::capacity
