/// The entry points of the programs `persimmondoor` and `platform-standin`.
///
/// \code
/// int main(int argc, char** argv) { return persimmondoor::app::runProgram(argc, argv); }
/// \endcode
#pragma once

namespace persimmondoor::app {

/// Exit codes of the program.
enum ExitCode : int {
    Success = 0,
    /// The operation failed.
    Failure = 1,
    /// Wrong flags or settings; nothing was started.
    Usage = 2,
    /// No entry answered. If a change was sent, its outcome may be unknown; the error output says so.
    Unreachable = 3,
    /// A concurrent change was made first; read the current state and repeat.
    ConflictingChange = 4
};

/// Runs the subcommand that `argv` names and returns the exit code.
int runProgram(int argc, char** argv);

/// Runs the stand-ins of the platform and of the services, and returns the exit code.
int runStandins(int argc, char** argv);

} // namespace persimmondoor::app
