/// The lines of one job. The order in which the lines are read does not matter.
///
/// \code
/// Story story { "7f59fcc0a1b2c3d4" };
/// story = add(std::move(story), line);
/// Document document = compose(story);
/// \endcode
#pragma once

#include "persimmondoor/report/Event.h"

#include <vector>

namespace persimmondoor::report {

struct Story {
    std::string job_;
    /// Lines on the job and on its runs, in the order in which they were read.
    std::vector<LogLine> lines_ {};
    bool operator==(const Story&) const = default;
};

/// \return the story with the line added, if it is one on the job or on one of its runs.
Story add(Story, const ReadLine&);

} // namespace persimmondoor::report
