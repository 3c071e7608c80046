#include "persimmondoor/scheduler/Front.h"

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Metrics.h"
#include "persimmondoor/core/Visitor.h"

namespace persimmondoor::scheduler {

namespace asio = boost::asio;

static constexpr Duration attemptInterval = std::chrono::milliseconds(60);
// Time for the answer to travel to the client before its deadline.
static constexpr Duration answerMargin = std::chrono::milliseconds(150);
// The shortest time that an attempt is given.
static constexpr Duration leastAttempt = std::chrono::milliseconds(50);
static constexpr Duration retryAfter = std::chrono::milliseconds(1000);

// The operators of Asio would merge the alternatives of a bare variant with their own.
static asio::awaitable<absl::StatusOr<workflow::ClientAnswer>> wrapAnswer(asio::awaitable<workflow::ClientAnswer> answer)
{
    workflow::ClientAnswer result = co_await std::move(answer);
    co_return result;
}

// The answer, or OutcomeUnknown after `limit`: what the owner does with the call is then open.
static asio::awaitable<workflow::ClientAnswer> answerWithin(asio::awaitable<workflow::ClientAnswer> answer, Duration limit)
{
    auto result = co_await withTimeout(wrapAnswer(std::move(answer)), limit);
    if (result.ok())
        co_return *std::move(result);
    co_return workflow::OutcomeUnknown { "the owner of the queues did not answer in time" };
}

static asio::awaitable<workflow::ClientAnswer> findAnswer(SchedulerActor scheduler, workflow::ClientCall call)
{
    Clock clock = SteadyClock();
    Instant start = now(clock);
    Instant deadline = start + call.timeLeft_ - answerMargin;
    Instant patience = std::min(deadline, start + leaderSearchTimeout);
    bool handedOver = false;
    for (int attempt = 1;; ++attempt) {
        workflow::ClientCall copy = call;
        copy.timeLeft_ = std::max(deadline - now(clock), leastAttempt);
        Duration limit = copy.timeLeft_;
        workflow::ClientAnswer answer = co_await answerWithin(scheduler.call(std::move(copy), true), limit);
        bool isUnknown = std::holds_alternative<workflow::OutcomeUnknown>(answer);
        handedOver = handedOver || isUnknown;
        if (!isUnknown && !std::holds_alternative<workflow::NotLeader>(answer)) {
            // What an earlier attempt has left open may still have taken the job.
            bool contradicts = handedOver && std::holds_alternative<workflow::NotAccepted>(answer);
            if (!contradicts)
                co_return answer;
        }
        if (now(clock) >= (handedOver ? deadline : patience)) {
            std::string path = call.path_;
            logWarning("call.given_up", { { "path", path }, { "attempts", std::to_string(attempt) }, { "outcome", handedOver ? "unknown" : "not run" } });
            if (handedOver)
                co_return workflow::OutcomeUnknown { "the owner of the queues did not answer in time" };
            co_return workflow::NotAccepted { "no owner of the queues can be reached", retryAfter };
        }
        co_await sleepFor(attemptInterval);
    }
}

static std::string_view nameOf(const workflow::ClientVerb& verb)
{
    return std::visit(Visitor { [](const workflow::Submit&) { return "submit"; }, [](const workflow::GetStatus&) { return "look"; }, [](const workflow::Cancel&) { return "cancel"; } }, verb);
}

asio::awaitable<workflow::ClientAnswer> serveClient(SchedulerActor scheduler, workflow::ClientCall call)
{
    Clock clock = SteadyClock();
    Instant start = now(clock);
    std::string name(nameOf(call.verb_));
    std::string path = call.path_;
    workflow::ClientAnswer answer = co_await findAnswer(std::move(scheduler), std::move(call));
    Duration took = now(clock) - start;
    recordLatency(name, took);
    // States are asked for often; they are logged only when something is wrong with them.
    bool isRoutine = std::holds_alternative<workflow::JobStatus>(answer) || std::holds_alternative<workflow::WaitingCount>(answer);
    if (!isRoutine)
        logInfo("call.answered", { { "call", name }, { "path", path }, { "answer", workflow::describe(answer) }, { "took_ms", std::to_string(took.count() / 1000) } });
    co_return answer;
}

} // namespace persimmondoor::scheduler
