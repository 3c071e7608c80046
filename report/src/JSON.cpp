#include "Cells.h"
#include "persimmondoor/core/Visitor.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace persimmondoor::report {

namespace json = boost::json;

static json::array arrayOf(const Table& table)
{
    json::array rows;
    for (const std::vector<Cell>& cells : table.rows_) {
        json::object row;
        for (size_t column = 0; column < cells.size(); ++column)
            row[table.columns_[column]] = std::visit(Visitor { [](std::monostate) { return json::value(); }, [](const auto& value) { return json::value(value); } }, cells[column]);
        rows.push_back(std::move(row));
    }
    return rows;
}

std::string jsonOf(const Document& document)
{
    json::object object;
    for (const Section& section : document.sections_) {
        json::array tables;
        for (const Block& block : section.blocks_) {
            if (const auto* table = std::get_if<Table>(&block))
                tables.push_back(arrayOf(*table));
        }
        object[section.name_] = std::move(tables);
    }
    return json::serialize(object) + "\n";
}

} // namespace persimmondoor::report
