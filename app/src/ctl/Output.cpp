#include "../Options.h"
#include "Ctl.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>
#include <sstream>

namespace persimmondoor::app::ctl {

namespace asio = boost::asio;
namespace json = boost::json;

int fail(std::string_view message, std::string_view next, ExitCode code)
{
    std::cerr << "persimmondoor ctl: " << message << "\n";
    if (!next.empty())
        std::cerr << "next: " << next << "\n";
    return code;
}

static std::string_view nextStep(int status)
{
    switch (status) {
    case 400:
        return "correct the input named above; nothing was changed";
    case 401:
        return "pass your token with --token or PERSIMMONDOOR_TOKEN; nothing was changed";
    case 403:
        return "use the token of an operator who may change that branch; nothing was changed";
    case 404:
        return "check the name with 'teams', 'workers' or 'endpoints', and that all entries run the same version";
    case 409:
        return "read the current state, apply your change to it and repeat; nothing was changed";
    case 413:
        return "the request is too large: send less at once; nothing was changed";
    case 503:
        return "repeat the command later; nothing was changed";
    case 504:
        return "the outcome is unknown: read the current state before you repeat the change";
    default:
        return "see the log of the entry";
    }
}

static ExitCode exitCodeOf(int status)
{
    if (status == 400 || status == 413)
        return Usage;
    return status == 409 ? ConflictingChange : Failure;
}

static std::string detailOf(const http::Response& response)
{
    boost::system::error_code error;
    json::value body = json::parse(response.body_, error);
    if (error || !body.is_object())
        return concat("status ", response.status_);
    return concat(textOf(body, "error"), ": ", textOf(body, "detail"));
}

int failAnswer(const Answer& answer)
{
    if (answer.ok())
        return fail(detailOf(*answer), nextStep(answer->status_), exitCodeOf(answer->status_));
    std::string message = concat("no entry answered: ", std::string(answer.status().message()));
    if (answer.status().code() == absl::StatusCode::kAborted)
        return fail(message, nextStep(504), Unreachable);
    return fail(message, "check the addresses passed with --entry (the operators' API) and that an entry is running", Unreachable);
}

absl::StatusOr<std::string> readInput(const std::string& path)
{
    if (path != "-")
        return readFile(path);
    std::ostringstream text;
    text << std::cin.rdbuf();
    return text.str();
}

void printText(std::string_view text)
{
    std::cout << text;
    if (!text.ends_with('\n'))
        std::cout << "\n";
    std::cout.flush();
}

void printTable(const std::vector<std::string>& heading, const Rows& rows)
{
    std::vector<size_t> widths;
    for (size_t column = 0; column < heading.size(); ++column) {
        size_t width = heading[column].size();
        for (const auto& row : rows)
            width = std::max(width, column < row.size() ? row[column].size() : 0);
        widths.push_back(width);
    }
    auto printRow = [&](const std::vector<std::string>& row) {
        std::string line;
        for (size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            if (column + 1 < row.size())
                line += std::string(widths[column] + 2 - row[column].size(), ' ');
        }
        std::cout << line << "\n";
    };
    printRow(heading);
    for (const auto& row : rows)
        printRow(row);
    std::cout.flush();
}

std::string textOf(const json::value& object, std::string_view name)
{
    const json::value* found = object.is_object() ? object.get_object().if_contains(name) : nullptr;
    if (!found || found->is_null())
        return "-";
    if (found->is_string())
        return std::string(found->get_string());
    return json::serialize(*found);
}

asio::awaitable<int> listItems(Invocation call, std::string path, std::string items, std::vector<std::pair<std::string, std::string>> columns)
{
    Answer answer = co_await call.client_.get(std::move(path));
    if (!answer.ok() || answer->status_ != 200)
        co_return failAnswer(answer);
    if (call.json_) {
        printText(answer->body_);
        co_return Success;
    }
    boost::system::error_code error;
    json::value body = json::parse(answer->body_, error);
    const json::value* list = body.is_object() ? body.get_object().if_contains(items) : nullptr;
    if (error || !list || !list->is_array())
        co_return fail("the answer of the entry is not a JSON object with the expected list", "check that the entry runs the same version as this program", Failure);
    std::vector<std::string> heading;
    heading.reserve(columns.size());
    for (const auto& column : columns)
        heading.push_back(column.first);
    Rows rows;
    for (const json::value& item : list->get_array()) {
        std::vector<std::string> row;
        row.reserve(columns.size());
        for (const auto& column : columns)
            row.push_back(textOf(item, column.second));
        rows.push_back(std::move(row));
    }
    printTable(heading, rows);
    co_return Success;
}

} // namespace persimmondoor::app::ctl
