// Writes a capacity page: text, the table of slopes, and rows that compare a need with its allowance.
#pragma once

#include "Slope.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace persimmondoor::capacity {

// A limit of the system with its need, its allowance, and the mechanism that keeps the need low.
struct Row {
    std::string limit_;
    // How the need is computed from slopes and sizes.
    std::string formula_;
    double need_ { 0 };
    double allowance_ { 0 };
    std::string unit_;
    std::string mechanism_;
    auto operator<=>(const Row&) const = default;
};

// Writes the parts of a page and records the first slope that is missing.
class Writer {
public:
    explicit Writer(const Slopes& slopes)
        : slopes_(slopes)
    {
    }

    // The slope named `name`; without points if there is none.
    const Slope& slope(std::string_view name);
    // The cost of one more unit.
    double costPerUnit(std::string_view name) { return slope(name).perUnit_; }
    // The cost of `size` on the fitted line, at least zero.
    double costAt(std::string_view name, double size);
    // The cost at the largest measured size, for costs that by design do not grow with the size.
    double costAtLargestSize(std::string_view name);

    void text(std::string_view);
    // The section with the table of all slopes.
    void slopes();
    void startRows();
    void row(const Row&);

    // Formats `value` with three significant figures and thousands separators.
    static std::string number(double value);

    // The page, or NotFound if a slope is missing.
    absl::StatusOr<std::string> finish() const;

private:
    const Slopes& slopes_;
    std::string page_;
    std::string missing_;
};

} // namespace persimmondoor::capacity
