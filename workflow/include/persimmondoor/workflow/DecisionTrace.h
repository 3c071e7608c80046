/// The job that a decision was last concerned with. Written by the thread that decides and readable by another one, which has to
/// name the job if the decision does not end.
///
/// \code
/// DecisionTrace trace;
/// Decision decision = decide(std::move(state), message, now, &trace);
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>

namespace persimmondoor::workflow {

class DecisionTrace {
public:
    /// Notes the job. An id of another length than those of the queues' jobs is not noted.
    void note(const JobId&);

    /// Forgets the job, as another decision begins.
    void clear();

    /// \return the job noted last; nothing if none has been noted since `clear`.
    std::optional<JobId> job() const;

private:
    // The digits of the id; 0 if there is none. Two words, as a pointer into the state could dangle.
    std::array<std::atomic<uint64_t>, 2> digits_ {};
};

} // namespace persimmondoor::workflow
