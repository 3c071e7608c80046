/// Bounds the retries of a service to a share of its requests, so that retries do not amplify an overload.
/// A token bucket as in gRPC's retry throttling (gRFC A6) and in Finagle's `RetryBudget`.
///
/// \code
/// RetryBudget budget = RetryBudget().afterRequest();
/// if (budget.allowsRetry())
///     budget = budget.afterRetry();
/// \endcode
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace persimmondoor::routing {

class RetryBudget {
public:
    /// Retries earned by a hundred requests.
    static constexpr int64_t retriesPerHundredRequests = 10;
    /// Capacity of the bucket, in retries; a new budget starts full.
    static constexpr int64_t maximumSavedRetries = 10;

    constexpr bool allowsRetry() const { return hundredths_ >= 100; }
    constexpr RetryBudget afterRequest() const { return RetryBudget(std::min(hundredths_ + retriesPerHundredRequests, maximumSavedRetries * 100)); }
    constexpr RetryBudget afterRetry() const { return RetryBudget(std::max<int64_t>(0, hundredths_ - 100)); }
    constexpr RetryBudget() = default;
    auto operator<=>(const RetryBudget&) const = default;

private:
    constexpr explicit RetryBudget(int64_t hundredths)
        : hundredths_(hundredths)
    {
    }

    int64_t hundredths_ { maximumSavedRetries * 100 };
};

} // namespace persimmondoor::routing
