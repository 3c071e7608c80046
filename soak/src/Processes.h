// The processes of the system under test. Each is started, signalled and waited for by its own id.
#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace persimmondoor::soak {

// What one process is started with.
struct ProcessCommand {
    std::string name_;
    std::string program_;
    std::vector<std::string> arguments_;
    // File to which its output is appended.
    std::string log_;
    bool operator==(const ProcessCommand&) const = default;
};

class Process {
public:
    explicit Process(ProcessCommand command)
        : command_(std::move(command))
    {
    }
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    const std::string& name() const { return command_.name_; }
    // Starts the program; does nothing while it runs. Returns Internal with the system's error.
    absl::Status start();
    bool isRunning() const { return id_ > 0; }
    // Number of times that it was started.
    uint32_t starts() const { return starts_; }
    // Sends a signal. An end that follows SIGKILL or SIGTERM is expected.
    void send(int signal);
    // Takes note of the end of the process.
    // Returns how it ended, if it has ended and no end was expected.
    std::optional<std::string> reap();
    // Its largest resident size so far, in bytes; 0 if it does not run.
    uint64_t peakMemory() const;

private:
    ProcessCommand command_;
    pid_t id_ { 0 };
    uint32_t starts_ { 0 };
    bool isEndExpected_ { false };
};

} // namespace persimmondoor::soak
