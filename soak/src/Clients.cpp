#include "Clients.h"

#include "WorkerStandin.h"
#include "decisions/JobDraws.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/http/Pool.h"

#include <boost/json/parse.hpp>

namespace persimmondoor::soak {

namespace asio = boost::asio;
namespace json = boost::json;

static constexpr Duration submissionInterval = std::chrono::milliseconds(200);
static constexpr Duration pollInterval = std::chrono::milliseconds(700);
static constexpr Duration callTimeout = std::chrono::milliseconds(3000);
static constexpr Duration repeatInterval = std::chrono::milliseconds(300);
static constexpr Duration returnInterval = std::chrono::milliseconds(1000);
static constexpr uint32_t maximumAttempts = 5;
static constexpr Duration rushInterval = std::chrono::milliseconds(20);
static constexpr uint32_t rushJobs = 60;

struct Clients::State {
    State(const asio::any_io_executor& executor, ClientOptions options, std::shared_ptr<Recorder> recorder)
        : executor_(executor)
        , options_(std::move(options))
        , recorder_(std::move(recorder))
        , jobDraws_(options_.seed_, options_.racks_)
        , entryDraws_(options_.seed_)
    {
        for (const Address& entry : options_.entries_)
            pools_.push_back(http::Pool::create(executor, entry));
    }

    const http::Pool& nextEntry() { return pools_[entryDraws_.below(static_cast<uint32_t>(pools_.size()))]; }

    asio::any_io_executor executor_;
    ClientOptions options_;
    std::shared_ptr<Recorder> recorder_;
    JobDraws jobDraws_;
    Draws entryDraws_;
    std::vector<http::Pool> pools_;
    bool isSubmitting_ { true };
    bool isOver_ { false };
};

namespace {

    // Answer of one call; status 0 if there is none.
    struct CallAnswer {
        CallAnswer() = default;
        CallAnswer(int status, std::string body)
            : status_(status)
            , body_(std::move(body))
        {
        }

        int status_ { 0 };
        std::string body_;
        // No byte of the request was sent.
        bool isUnsent_ { false };
    };

} // namespace

template <typename State>
static asio::awaitable<CallAnswer> call(std::shared_ptr<State> state, std::string method, std::string id, std::string body)
{
    http::Request request;
    request.method_ = std::move(method);
    request.target_ = concat(state->options_.prefix_, id);
    request.headers_ = { { "Host", state->options_.host_ }, { "Content-Type", "application/json" }, { "Persimmondoor-Deadline-Ms", concat(callTimeout.count() / 1000) } };
    request.body_ = std::move(body);
    http::Pool pool = state->nextEntry();
    http::ExchangeOutcome outcome = co_await http::exchange(pool, std::move(request), callTimeout, http::Repeat::Never);
    CallAnswer answer;
    if (const auto* response = std::get_if<http::Response>(&outcome))
        answer = CallAnswer(response->status_, response->body_);
    else
        answer.isUnsent_ = !std::get<http::ExchangeFailure>(outcome).handedOver_;
    co_return answer;
}

// Submits the job until it is accepted or the attempts are used up. Returns whether it was accepted.
template <typename State>
static asio::awaitable<bool> submit(std::shared_ptr<State> state, std::shared_ptr<JobPlan> plan)
{
    const std::string body = platform::encodeSubmission(plan->steps_, plan->behaviours_);
    bool isOutcomeKnown = true;
    uint32_t refusals = 0;
    for (uint32_t attempt = 0; attempt < maximumAttempts && !state->isOver_; ++attempt) {
        CallAnswer answer = co_await call(state, "POST", plan->id_.value(), body);
        if (answer.status_ >= 200 && answer.status_ < 300) {
            state->recorder_->record(JobAccepted { plan->id_ });
            ++state->recorder_->tally().accepted_;
            co_return true;
        }
        bool isRefusal = answer.status_ == 429 || answer.status_ == 503;
        refusals += isRefusal ? 1 : 0;
        isOutcomeKnown = isOutcomeKnown && (isRefusal || answer.isUnsent_);
        co_await sleepFor(isRefusal ? returnInterval : repeatInterval);
    }
    if (isOutcomeKnown && refusals > 0) {
        state->recorder_->record(JobRefused { plan->id_ });
        ++state->recorder_->tally().refused_;
    }
    co_return false;
}

template <typename State>
static asio::awaitable<void> cancel(std::shared_ptr<State> state, std::shared_ptr<JobPlan> plan)
{
    co_await sleepFor(plan->cancelAfter_);
    state->recorder_->record(CancelSent { plan->id_ });
    while (!state->isOver_) {
        CallAnswer answer = co_await call(state, "DELETE", plan->id_.value(), "");
        if ((answer.status_ >= 200 && answer.status_ < 300) || answer.status_ == 410) {
            state->recorder_->record(CancelAcknowledged { plan->id_ });
            ++state->recorder_->tally().cancelled_;
            co_return;
        }
        co_await sleepFor(repeatInterval);
    }
}

static std::optional<ShownState> shownState(const CallAnswer& answer)
{
    if (answer.status_ == 410)
        return ShownState::Absent;
    boost::system::error_code error;
    json::value body = json::parse(answer.body_, error);
    const json::value* state = !error && answer.status_ == 200 && body.is_object() ? body.get_object().if_contains("state") : nullptr;
    if (!state || !state->is_string())
        return std::nullopt;
    static const std::vector<std::pair<std::string_view, ShownState>> names { { "pending", ShownState::Pending }, { "running", ShownState::Running }, { "completed", ShownState::Completed }, { "failed", ShownState::Failed }, { "canceled", ShownState::Canceled } };
    for (const auto& [name, shown] : names) {
        if (state->get_string() == name)
            return shown;
    }
    return std::nullopt;
}

template <typename State>
static asio::awaitable<void> followJob(std::shared_ptr<State> state, std::shared_ptr<JobPlan> plan)
{
    state->recorder_->record(JobSubmitted { plan->id_, *workflow::JobSpec::create(platform::encodePayload(plan->behaviours_), plan->steps_, {}) });
    ++state->recorder_->tally().submitted_;
    if (!co_await submit(state, plan))
        co_return;
    if (plan->isCancelled_)
        spawn(state->executor_, "cancel", cancel(state, plan));
    while (!state->isOver_) {
        co_await sleepFor(pollInterval);
        CallAnswer answer = co_await call(state, "GET", plan->id_.value(), "");
        auto shown = shownState(answer);
        if (!shown)
            continue;
        state->recorder_->record(StateShown { plan->id_, *shown });
        if (*shown == ShownState::Completed || *shown == ShownState::Canceled) {
            state->recorder_->tally().completed_ += *shown == ShownState::Completed ? 1 : 0;
            co_return;
        }
    }
}

template <typename State>
static asio::awaitable<void> submitJobs(std::shared_ptr<State> state)
{
    while (state->isSubmitting_) {
        auto plan = std::make_shared<JobPlan>(state->jobDraws_.next());
        spawn(state->executor_, "job", followJob(state, plan));
        co_await sleepFor(submissionInterval);
    }
}

template <typename State>
static asio::awaitable<void> submitRush(std::shared_ptr<State> state, std::vector<JobPlan> plans)
{
    co_await sleepFor(state->jobDraws_.rushBegin());
    for (JobPlan& drawn : plans) {
        if (!state->isSubmitting_)
            co_return;
        auto plan = std::make_shared<JobPlan>(std::move(drawn));
        spawn(state->executor_, "job", followJob(state, plan));
        co_await sleepFor(rushInterval);
    }
}

Clients::Clients(std::shared_ptr<State> state)
    : state_(std::move(state))
{
}

Clients::~Clients()
{
    state_->isSubmitting_ = false;
    state_->isOver_ = true;
}

std::unique_ptr<Clients> Clients::start(const asio::any_io_executor& executor, ClientOptions options, std::shared_ptr<Recorder> recorder)
{
    auto state = std::make_shared<State>(executor, std::move(options), std::move(recorder));
    std::vector<JobPlan> rush;
    for (uint32_t job = 0; job < rushJobs; ++job)
        rush.push_back(state->jobDraws_.nextOfRush());
    spawn(executor, "clients", submitJobs(state));
    spawn(executor, "rush", submitRush(state, std::move(rush)));
    return std::unique_ptr<Clients>(new Clients(std::move(state)));
}

void Clients::stopSubmitting()
{
    state_->isSubmitting_ = false;
}

} // namespace persimmondoor::soak
