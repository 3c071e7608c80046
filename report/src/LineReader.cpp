#include "persimmondoor/report/Line.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace persimmondoor::report {

namespace json = boost::json;

// Longest line that is looked at, in bytes. A process writes at most 4 KiB; a collector may put a prefix before it.
static constexpr size_t maximumLineBytes = 16'384;
static constexpr size_t blockBytes = 65'536;
// The first field of each line.
static constexpr std::string_view lineBegin = "{\"time_ms\":";

std::string LogLine::field(std::string_view name) const
{
    auto found = fields_.find(name);
    return found == fields_.end() ? "" : found->second;
}

static std::optional<std::string> textField(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    if (!value || !value->is_string())
        return std::nullopt;
    return std::string(value->get_string());
}

ReadLine parseLine(std::string_view text)
{
    size_t begin = text.find(lineBegin);
    if (begin == std::string_view::npos)
        return ForeignLine {};
    std::string_view object = text.substr(begin);
    object = object.substr(0, object.find_last_not_of(" \r\t") + 1);
    boost::system::error_code error;
    json::value value = json::parse(object, error);
    if (error || !value.is_object())
        return CutLine {};
    const json::object& fields = value.get_object();
    auto event = textField(fields, "event");
    auto process = textField(fields, "process");
    const json::value& time = fields.at("time_ms");
    if (!event || !process || !time.is_int64())
        return ForeignLine {};
    LogLine line { time.get_int64(), *process, *event, {} };
    for (const auto& field : fields) {
        if (field.value().is_string())
            line.fields_.emplace(std::string(field.key()), std::string(field.value().get_string()));
    }
    return line;
}

// Reads the next block. Returns false at the end or after a failure.
bool LineReader::readBlock()
{
    block_.resize(blockBytes);
    stream_.read(block_.data(), static_cast<std::streamsize>(block_.size()));
    block_.resize(static_cast<size_t>(stream_.gcount()));
    position_ = 0;
    return !block_.empty();
}

std::optional<ReadLine> LineReader::next()
{
    std::string line;
    bool hasRead = false;
    bool isTooLong = false;
    while (position_ < block_.size() || readBlock()) {
        hasRead = true;
        size_t end = block_.find('\n', position_);
        std::string_view part = std::string_view(block_).substr(position_, end == std::string::npos ? end : end - position_);
        isTooLong = isTooLong || line.size() + part.size() > maximumLineBytes;
        if (!isTooLong)
            line += part;
        position_ += part.size();
        if (end == std::string::npos)
            continue;
        ++position_;
        break;
    }
    if (!hasRead)
        return std::nullopt;
    return isTooLong ? ForeignLine {} : parseLine(line);
}

} // namespace persimmondoor::report
