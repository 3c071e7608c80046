/// The lines of a structured log: reading them from files that may hold anything.
///
/// \code
/// LineReader reader(stream);
/// while (std::optional<ReadLine> line = reader.next())
///     summary = add(std::move(summary), *line);
/// \endcode
#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace persimmondoor::report {

/// A line that a process of the system wrote.
struct LogLine {
    /// Wall time of the process, in milliseconds since the epoch.
    int64_t timeMs_ { 0 };
    std::string process_;
    std::string event_;
    /// All other fields that are text.
    std::map<std::string, std::string, std::less<>> fields_;
    bool operator==(const LogLine&) const = default;

    /// \return the field, or an empty text if the line does not have it.
    std::string field(std::string_view name) const;
};

/// A line without an object of the log, such as one of another program.
struct ForeignLine {
    auto operator<=>(const ForeignLine&) const = default;
};

/// A line in which an object of the log begins that is not complete.
struct CutLine {
    auto operator<=>(const CutLine&) const = default;
};

using ReadLine = std::variant<LogLine, ForeignLine, CutLine>;

/// \param text one line, without its end; anything may stand before the object of the log.
ReadLine parseLine(std::string_view text);

/// Reads lines one by one in bounded memory.
class LineReader {
public:
    explicit LineReader(std::istream& stream)
        : stream_(stream)
    {
    }

    /// \return the next line, or empty at the end. A line that is longer than any that a process writes counts as foreign.
    std::optional<ReadLine> next();
    /// \return true if the stream failed before its end.
    bool hasFailed() const { return stream_.bad(); }

private:
    bool readBlock();

    std::istream& stream_;
    // What was read last, and the begin of the part of it that is left.
    std::string block_;
    size_t position_ { 0 };
};

} // namespace persimmondoor::report
