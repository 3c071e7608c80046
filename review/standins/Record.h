// The record of a case: one line for each thing that was sent, answered or run, with the time in milliseconds.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace persimmondoor::review {

// Milliseconds on the steady clock of this process.
inline int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// Milliseconds since 1970 UTC.
inline int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

class Record {
public:
    explicit Record(const std::string& path)
        : file_(path, std::ios::trunc)
    {
    }

    void write(const std::string& line)
    {
        std::lock_guard lock(mutex_);
        file_ << steadyMs() - startMs_ << " ms: " << line << "\n"
              << std::flush;
    }
    int64_t startMs() const { return startMs_; }

private:
    std::mutex mutex_;
    std::ofstream file_;
    int64_t startMs_ { steadyMs() };
};

} // namespace persimmondoor::review
