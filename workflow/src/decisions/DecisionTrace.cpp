#include "persimmondoor/workflow/DecisionTrace.h"

#include <cstring>

namespace persimmondoor::workflow {

void DecisionTrace::note(const JobId& job)
{
    std::array<uint64_t, 2> digits {};
    if (job.value().size() != sizeof(digits))
        return;
    std::memcpy(digits.data(), job.value().data(), sizeof(digits));
    digits_[0].store(digits[0], std::memory_order_relaxed);
    digits_[1].store(digits[1], std::memory_order_relaxed);
}

void DecisionTrace::clear()
{
    digits_[0].store(0, std::memory_order_relaxed);
}

std::optional<JobId> DecisionTrace::job() const
{
    std::array<uint64_t, 2> digits { digits_[0].load(std::memory_order_relaxed), digits_[1].load(std::memory_order_relaxed) };
    if (digits[0] == 0)
        return std::nullopt;
    std::string text(sizeof(digits), '\0');
    std::memcpy(text.data(), digits.data(), sizeof(digits));
    // Another thread may have noted another job meanwhile.
    auto job = JobId::create(std::move(text));
    return job.ok() ? std::optional<JobId>(*std::move(job)) : std::nullopt;
}

} // namespace persimmondoor::workflow
