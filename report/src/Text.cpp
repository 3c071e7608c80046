#include "persimmondoor/core/Text.h"
#include "Cells.h"
#include "persimmondoor/core/Visitor.h"

#include <absl/strings/str_format.h>
#include <algorithm>

namespace persimmondoor::report {

static constexpr size_t columnGap = 2;

std::string cellText(const Cell& cell)
{
    return std::visit(Visitor { [](std::monostate) { return std::string(); }, [](const std::string& text) { return text; }, [](int64_t number) { return concat(number); }, [](double number) -> std::string { return absl::StrFormat("%.1f", number); } }, cell);
}

bool isNumber(const Cell& cell)
{
    return !std::holds_alternative<std::string>(cell);
}

// The text without characters that control a terminal; they may stand in a damaged log.
static std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](char character) { return static_cast<unsigned char>(character) < ' ' || character == '\x7f'; }, '?');
    return text;
}

static std::string rowText(const std::vector<std::string>& cells, const std::vector<size_t>& widths, const std::vector<bool>& isRight)
{
    std::string line;
    for (size_t column = 0; column < cells.size(); ++column) {
        std::string padding(widths[column] - cells[column].size(), ' ');
        line += isRight[column] ? padding + cells[column] : cells[column] + padding;
        line += std::string(columnGap, ' ');
    }
    line.resize(line.find_last_not_of(' ') + 1);
    return line + "\n";
}

static std::string tableText(const Table& table)
{
    if (table.rows_.empty())
        return concat("none (", table.columns_.front(), ")\n");
    std::vector<size_t> widths;
    for (const std::string& column : table.columns_)
        widths.push_back(column.size());
    std::vector<bool> isRight(table.columns_.size(), true);
    std::vector<std::vector<std::string>> rows;
    for (const std::vector<Cell>& row : table.rows_) {
        std::vector<std::string> cells;
        for (size_t column = 0; column < row.size(); ++column) {
            cells.push_back(printable(cellText(row[column])));
            widths[column] = std::max(widths[column], cells.back().size());
            isRight[column] = isRight[column] && isNumber(row[column]);
        }
        rows.push_back(std::move(cells));
    }
    std::string text = rowText(table.columns_, widths, isRight);
    for (const std::vector<std::string>& row : rows)
        text += rowText(row, widths, isRight);
    return text;
}

std::string textOf(const Document& document)
{
    std::string text;
    for (const Section& section : document.sections_) {
        text += concat("== ", section.title_, "\n");
        for (const Block& block : section.blocks_)
            text += std::visit(Visitor { [](const Paragraph& paragraph) { return concat(paragraph.text_, "\n\n"); }, [](const Table& table) { return concat(tableText(table), "\n"); }, [](const Chart&) { return std::string(); } }, block);
    }
    return text;
}

} // namespace persimmondoor::report
