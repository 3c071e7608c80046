#include "Processes.h"

#include "persimmondoor/core/Text.h"

#include <absl/strings/numbers.h>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>

namespace persimmondoor::soak {

static constexpr uint64_t bytesPerKilobyte = 1024;

Process::~Process()
{
    if (id_ <= 0)
        return;
    kill(id_, SIGKILL);
    waitpid(id_, nullptr, 0);
}

absl::Status Process::start()
{
    if (id_ > 0)
        return absl::OkStatus();
    std::vector<char*> arguments { command_.program_.data() };
    for (std::string& argument : command_.arguments_)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t files {};
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, command_.log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    std::array<char*, 1> environment { nullptr };
    int error = posix_spawn(&id_, command_.program_.c_str(), &files, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&files);
    if (error != 0) {
        id_ = 0;
        return absl::InternalError(concat("cannot start ", command_.program_, ": ", strerror(error))); // NOLINT(concurrency-mt-unsafe)
    }
    isEndExpected_ = false;
    ++starts_;
    return absl::OkStatus();
}

void Process::send(int signal)
{
    if (id_ <= 0)
        return;
    isEndExpected_ = isEndExpected_ || signal == SIGKILL || signal == SIGTERM;
    kill(id_, signal);
}

std::optional<std::string> Process::reap()
{
    int status = 0;
    if (id_ <= 0 || waitpid(id_, &status, WNOHANG) != id_)
        return std::nullopt;
    id_ = 0;
    if (isEndExpected_)
        return std::nullopt;
    if (WIFSIGNALED(status))
        return concat("signal ", WTERMSIG(status));
    return concat("exit code ", WEXITSTATUS(status));
}

uint64_t Process::peakMemory() const
{
    std::ifstream file(concat("/proc/", id_, "/status"));
    std::string word;
    while (id_ > 0 && file >> word) {
        if (word != "VmHWM:")
            continue;
        uint64_t kilobytes = 0;
        file >> kilobytes;
        return kilobytes * bytesPerKilobyte;
    }
    return 0;
}

} // namespace persimmondoor::soak
