#include "persimmondoor/scheduler/Front.h"

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Metrics.h"
#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/workflow/Record.h"

namespace persimmondoor::scheduler {

namespace asio = boost::asio;

static constexpr Duration attemptInterval = std::chrono::milliseconds(60);
// Time reserved for the answer to reach the client before its deadline.
static constexpr Duration answerMargin = std::chrono::milliseconds(150);
static constexpr Duration minimumAttemptTimeout = std::chrono::milliseconds(50);
static constexpr Duration retryAfter = std::chrono::milliseconds(1000);

// Wraps an answer, as Asio's awaitable operators would merge the alternatives of a plain variant into their own result.
static asio::awaitable<absl::StatusOr<workflow::ClientAnswer>> wrapAnswer(asio::awaitable<workflow::ClientAnswer> answer)
{
    workflow::ClientAnswer result = co_await std::move(answer);
    co_return result;
}

// Returns the answer, or OutcomeUnknown after `limit`, as the leader may still carry out the call.
static asio::awaitable<workflow::ClientAnswer> answerWithin(asio::awaitable<workflow::ClientAnswer> answer, Duration limit)
{
    auto result = co_await withTimeout(wrapAnswer(std::move(answer)), limit);
    if (result.ok())
        co_return *std::move(result);
    co_return workflow::OutcomeUnknown { "the leader of the queues did not answer in time" };
}

static asio::awaitable<workflow::ClientAnswer> findAnswer(SchedulerActor scheduler, workflow::ClientCall call)
{
    Clock clock = SteadyClock();
    Instant start = now(clock);
    Instant deadline = start + call.timeLeft_ - answerMargin;
    Instant searchDeadline = std::min(deadline, start + leaderSearchTimeout);
    bool mayHaveTakenEffect = false;
    for (int attempt = 1;; ++attempt) {
        workflow::ClientCall copy = call;
        copy.timeLeft_ = std::max(deadline - now(clock), minimumAttemptTimeout);
        Duration limit = copy.timeLeft_;
        workflow::ClientAnswer answer = co_await answerWithin(scheduler.call(std::move(copy), true), limit);
        bool isUnknown = std::holds_alternative<workflow::OutcomeUnknown>(answer);
        mayHaveTakenEffect = mayHaveTakenEffect || isUnknown;
        if (!isUnknown && !std::holds_alternative<workflow::NotLeader>(answer)) {
            // An earlier attempt of unknown outcome may have stored the job or still arrive, so that a denial could be wrong.
            bool contradicts = mayHaveTakenEffect && workflow::deniesEffect(call.verb_, answer);
            if (!contradicts)
                co_return answer;
        }
        if (now(clock) >= (mayHaveTakenEffect ? deadline : searchDeadline)) {
            std::string path = call.path_;
            logWarning("call.given_up", { { "path", path }, { "attempts", std::to_string(attempt) }, { "outcome", mayHaveTakenEffect ? "unknown" : "not run" } });
            if (mayHaveTakenEffect)
                co_return workflow::OutcomeUnknown { "the leader of the queues did not answer in time" };
            co_return workflow::NotAccepted { "no owner of the queues can be reached", retryAfter };
        }
        co_await sleepFor(attemptInterval);
    }
}

static std::string_view nameOf(const workflow::ClientVerb& verb)
{
    return std::visit(Visitor { [](const workflow::Submit&) { return "submit"; }, [](const workflow::GetStatus&) { return "look"; }, [](const workflow::Cancel&) { return "cancel"; } }, verb);
}

// True if the job's rows would be larger than the store takes, so that it can never be accepted.
static bool isTooLarge(const workflow::ClientCall& call)
{
    // The record holds the queue beside the specification.
    constexpr size_t queueBytes = 1000;
    const auto* submission = std::get_if<workflow::Submit>(&call.verb_);
    return submission && workflow::encodeSpec(submission->spec_).size() + queueBytes > workflow::maximumRowBytes;
}

asio::awaitable<workflow::ClientAnswer> serveClient(SchedulerActor scheduler, workflow::ClientCall call)
{
    Clock clock = SteadyClock();
    Instant start = now(clock);
    std::string name(nameOf(call.verb_));
    std::string path = call.path_;
    workflow::ClientAnswer answer = workflow::Malformed { "the job is larger than can be stored" };
    if (!isTooLarge(call))
        answer = co_await findAnswer(std::move(scheduler), std::move(call));
    Duration took = now(clock) - start;
    recordLatency(name, took);
    // Status calls are frequent; only their failures are logged.
    bool isRoutine = std::holds_alternative<workflow::JobStatus>(answer) || std::holds_alternative<workflow::WaitingCount>(answer);
    if (!isRoutine)
        logInfo("call.answered", { { "call", name }, { "path", path }, { "answer", workflow::describe(answer) }, { "took_ms", std::to_string(took.count() / 1000) } });
    co_return answer;
}

} // namespace persimmondoor::scheduler
