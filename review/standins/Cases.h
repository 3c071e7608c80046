// The cases that are scripts. Each returns true if the rule was broken, and throws CannotRun if the case could not run.
#pragma once

#include <string>

namespace persimmondoor::review {

// An accepted job is given up after two crashes of minions, none of its runs having ended `failed`.
bool runCrashCase(const std::string& folder, bool hasTrouble);
// A gang is started again with different values of `saved` after the crash of a minion, and never gets together.
bool runGangCase(const std::string& folder, bool hasTrouble);
// The notice that a minion leaves arrives after the minion has started again, and its tasks are started a second time.
bool runLeaveCase(const std::string& folder, bool hasTrouble);

} // namespace persimmondoor::review
