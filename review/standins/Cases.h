// The cases that are scripts. Each returns true if the rule was broken, and throws CannotRun if the case could not run.
#pragma once

#include <string>

namespace persimmondoor::review {

// A gang is started again with different values of `saved` after the crash of a worker, and never gets together.
bool runGangCase(const std::string& folder, bool hasTrouble);
// The notice that a worker leaves arrives after the worker has started again, and its tasks are started a second time.
bool runLeaveCase(const std::string& folder, bool hasTrouble);
// A worker leaves and its agent is stopped while nobody leads, and the next leader doesn't start its lasting tasks again.
bool runAwayCase(const std::string& folder, bool hasTrouble);
// A task crashes one worker after the other, some time after each start, and is never given up.
bool runDeadlyCase(const std::string& folder, bool hasTrouble);
// The end of a member of a gang is taken note of before the store has the end of the gang, which is then lost.
bool runNotedCase(const std::string& folder, bool hasTrouble);

} // namespace persimmondoor::review
