/// A report as it is shown: sections of tables and charts, which each format renders in its own way.
///
/// \code
/// std::cout << textOf(compose(summary, 20));
/// \endcode
#pragma once

#include "persimmondoor/report/Story.h"
#include "persimmondoor/report/Summary.h"

namespace persimmondoor::report {

/// Monostate where there is no figure.
using Cell = std::variant<std::monostate, std::string, int64_t, double>;

struct Table {
    std::vector<std::string> columns_;
    std::vector<std::vector<Cell>> rows_;
    bool operator==(const Table&) const = default;
};

struct Series {
    std::string name_;
    /// Seconds from the begin of the log, ascending, and their values; seconds without a figure are left out.
    std::vector<std::pair<int64_t, double>> values_;
    bool operator==(const Series&) const = default;
};

struct Chart {
    std::string title_;
    std::vector<Series> series_;
    bool operator==(const Chart&) const = default;
};

struct Paragraph {
    std::string text_;
    auto operator<=>(const Paragraph&) const = default;
};

using Block = std::variant<Paragraph, Table, Chart>;

struct Section {
    /// Short name for programs, and the title for readers.
    std::string name_;
    std::string title_;
    std::vector<Block> blocks_;
    bool operator==(const Section&) const = default;
};

struct Document {
    std::vector<Section> sections_;
    bool operator==(const Document&) const = default;
};

/// Composes the report.
/// \param maximumJobs how many single jobs are listed, those that waited longest first.
Document compose(const Summary&, size_t maximumJobs);

/// Composes the story of one job: its lines in the order of their time.
Document compose(const Story&);

/// Renders tables as text; charts are left out.
std::string textOf(const Document&);
/// Renders one page with its charts.
std::string htmlOf(const Document&);
/// Renders each table as an array of objects; charts are left out, as their values stand in tables.
std::string jsonOf(const Document&);

} // namespace persimmondoor::report
