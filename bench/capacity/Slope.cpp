#include "Slope.h"

#include "persimmondoor/core/Text.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>

namespace persimmondoor::capacity {

namespace json = boost::json;

// Largest relative difference allowed between a recorded and a recomputed figure.
static constexpr double figureTolerance = 1e-6;

Slope fit(std::string name, std::string sizeUnit, std::string costUnit, std::vector<Point> points)
{
    double count = static_cast<double>(points.size());
    double sumSize = 0;
    double sumCost = 0;
    double sumSizeSquared = 0;
    double sumProduct = 0;
    for (const Point& point : points) {
        sumSize += point.size_;
        sumCost += point.cost_;
        sumSizeSquared += point.size_ * point.size_;
        sumProduct += point.size_ * point.cost_;
    }
    double perUnit = (count * sumProduct - sumSize * sumCost) / (count * sumSizeSquared - sumSize * sumSize);
    double intercept = (sumCost - perUnit * sumSize) / count;
    double squares = 0;
    for (const Point& point : points)
        squares += std::pow(point.cost_ - intercept - perUnit * point.size_, 2);
    double residual = std::sqrt(squares / count) / (sumCost / count);
    return { std::move(name), std::move(sizeUnit), std::move(costUnit), std::move(points), intercept, perUnit, residual };
}

absl::StatusOr<Slope> findSlope(const Slopes& slopes, std::string_view name)
{
    for (const Slope& slope : slopes) {
        if (slope.name_ == name)
            return slope;
    }
    return absl::NotFoundError(concat("no slope named ", name));
}

std::string toJSON(const Slopes& slopes)
{
    std::string text = "[\n";
    for (const Slope& slope : slopes) {
        json::array points;
        for (const Point& point : slope.points_)
            points.push_back(json::array { point.size_, point.cost_ });
        json::object object { { "name", slope.name_ }, { "size_unit", slope.sizeUnit_ }, { "cost_unit", slope.costUnit_ }, { "points", points },
            { "intercept", slope.intercept_ }, { "per_unit", slope.perUnit_ }, { "residual", slope.residual_ } };
        text += concat(text.size() > 2 ? ",\n" : "", json::serialize(object));
    }
    return text + "\n]\n";
}

static bool isClose(double left, double right)
{
    return std::abs(left - right) <= figureTolerance * std::max({ 1.0, std::abs(left), std::abs(right) });
}

static absl::StatusOr<Slope> readSlope(const json::object& object)
{
    std::vector<Point> points;
    for (const json::value& pair : object.at("points").as_array())
        points.push_back({ pair.at(0).to_number<double>(), pair.at(1).to_number<double>() });
    std::string name(object.at("name").as_string());
    if (points.size() < 3)
        return absl::InvalidArgumentError(concat(name, ": fewer than three measured sizes"));
    Slope slope = fit(name, std::string(object.at("size_unit").as_string()), std::string(object.at("cost_unit").as_string()), std::move(points));
    bool isFitOfPoints = isClose(slope.intercept_, object.at("intercept").to_number<double>()) && isClose(slope.perUnit_, object.at("per_unit").to_number<double>())
        && isClose(slope.residual_, object.at("residual").to_number<double>());
    if (!isFitOfPoints)
        return absl::InvalidArgumentError(concat(name, ": the recorded intercept, slope or residual differs from the fit of the recorded points"));
    return slope;
}

absl::StatusOr<Slopes> fromJSON(const std::string& text)
{
    Slopes slopes;
    try {
        json::value tree = json::parse(text);
        for (const json::value& item : tree.as_array()) {
            auto slope = readSlope(item.as_object());
            if (!slope.ok())
                return slope.status();
            slopes.push_back(*std::move(slope));
        }
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
    return slopes;
}

} // namespace persimmondoor::capacity
