// A stand-in for a minion: it runs tasks under a lease and sends heartbeats to the agent on its machine, as PROTOCOL.md
// tells it.
#pragma once

#include "Http.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdio>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace review {

namespace json = boost::json;

// Bounds that the pages state (DEPLOY.md, PROTOCOL.md).
inline constexpr int64_t longestLeaseMs = 10'000;
inline constexpr int64_t longestWaitMs = 2'000;
inline constexpr size_t endsPerAnswer = 500;
inline constexpr int64_t stopMs = 100;
inline constexpr int64_t startupMs = 200;
// Longer than a case.
inline constexpr Millis silence(120'000);
inline constexpr int64_t checkpointMs = 1'000;

// What a client asked of the tasks of one step.
struct StepFacts {
    int64_t cpu_ { 0 };
    int64_t memMb_ { 0 };
    // Work of one task; the work of a task that lasts has no end.
    int64_t workMs_ { 0 };
    int64_t spreadMs_ { 0 };
    bool lasts_ { false };
    // Length of the checkpoints that the tasks produce; 0 for tasks that save nothing.
    size_t savedBytes_ { 0 };
};

// A begin or an end of a run, as a minion saw it.
struct RunEvent {
    int64_t atMs_ { 0 };
    std::string minion_;
    std::string task_;
    int64_t run_ { 0 };
    // "start", "end" or "noted", when `ackedUpto` reached the end.
    std::string what_;
    std::string how_ {};
};

// The jobs that clients have sent and all that the minions have seen; shared by the stand-ins of one case.
struct Ledger {
    // Steps by job id.
    std::map<std::string, std::vector<StepFacts>> jobs_;
    std::vector<RunEvent> events_;

    // The job, occurrence, step and index of a task's name.
    static std::vector<std::string> partsOf(const std::string& task)
    {
        std::vector<std::string> parts(1);
        for (char character : task) {
            if (character == '.')
                parts.emplace_back();
            else
                parts.back() += character;
        }
        return parts;
    }

    StepFacts factsOf(const std::string& task) const
    {
        std::vector<std::string> parts = partsOf(task);
        auto job = jobs_.find(parts.at(0));
        return job == jobs_.end() ? StepFacts {} : job->second.at(std::stoul(parts.at(2)));
    }
};

class Minion {
public:
    struct Identity {
        std::string id_;
        std::string machine_;
        std::string service_;
        std::string zone_;
        std::string rack_;
        int64_t cpu_ { 64'000 };
        int64_t memMb_ { 250'000 };
        std::string kind_ { "a" };
    };

    Minion(asio::io_context& context, Identity identity, const std::string& ip, Ledger& ledger)
        : context_(context)
        , identity_(std::move(identity))
        , ledger_(ledger)
        , ip_(ip)
    {
        listen(0);
        asio::co_spawn(context_, watchLease(), asio::detached);
    }

    const Endpoint& address() const { return address_; }
    bool isUp() const { return server_ != nullptr; }
    const Identity& identity() const { return identity_; }
    void setKind(const std::string& kind) { identity_.kind_ = kind; }
    size_t running() const { return runs_.size(); }
    size_t unacknowledgedEnds() const { return ended_.size(); }
    size_t largestBacklog() const { return largestBacklog_; }

    // Ends the minion without a word, as by SIGKILL. Nothing runs on it any more.
    void crash()
    {
        for (const auto& [task, run] : runs_)
            record(task, run.number_, "end", "crashed");
        runs_.clear();
        ended_.clear();
        usedCpu_ = 0;
        usedMemMb_ = 0;
        server_.reset();
    }

    // Ends the minion with its machine: nothing runs on it any more, and what is sent there gets no answer and no reset.
    void goDark()
    {
        for (const auto& [task, run] : runs_)
            record(task, run.number_, "end", "crashed");
        runs_.clear();
        ended_.clear();
        usedCpu_ = 0;
        usedMemMb_ = 0;
        isDark_ = true;
    }

    // Starts the minion again, under its id and at its address, as a new incarnation that knows nothing of before.
    void restart()
    {
        server_.reset();
        isDark_ = false;
        highestRuns_.clear();
        ends_ = 0;
        fence_ = 0;
        leaseUntilMs_ = 0;
        bornMs_ = wallMs();
        bornSteadyMs_ = steadyMs() - 1'000;
        listen(address_.port_);
        announce(agent_, advertised_);
    }

    // Sends heartbeats to the agent, naming `advertised` as the minion's address.
    void announce(const Endpoint& agent, const Endpoint& advertised)
    {
        agent_ = agent;
        advertised_ = advertised;
        asio::co_spawn(context_, sendHeartbeats(bornMs_), asio::detached);
    }

private:
    struct Run {
        int64_t number_ { 0 };
        StepFacts facts_;
        int64_t beganAtMs_ { 0 };
        int64_t endsAtMs_ { 0 };
        std::string saved_;
        bool isStopping_ { false };
    };
    struct End {
        int64_t number_ { 0 };
        std::string task_;
        int64_t run_ { 0 };
        std::string how_;
        std::string saved_;
    };

    void listen(uint16_t port)
    {
        server_ = std::make_unique<Server>(context_, ip_, port, [this](const Request& request) { return answer(request); });
        address_ = server_->address();
    }

    int64_t clockMs() const { return steadyMs() - bornSteadyMs_; }

    void record(const std::string& task, int64_t run, const std::string& what, const std::string& how = "")
    {
        ledger_.events_.push_back({ steadyMs(), identity_.id_, task, run, what, how });
    }

    Answer reply(int status, json::object body) const
    {
        body["clockMs"] = clockMs();
        body["born"] = bornMs_;
        return { status, json::serialize(body) };
    }

    Answer done() const { return reply(200, {}); }
    Answer refuse(const char* reason) const { return reply(409, { { "reason", reason } }); }

    asio::awaitable<Answer> answer(const Request& request)
    {
        if (isDark_) {
            co_await sleepFor(silence);
            co_return Answer(0, "", true);
        }
        Answer answer = co_await serve(request);
        if (isDark_)
            co_await sleepFor(silence);
        co_return answer;
    }

    asio::awaitable<Answer> serve(const Request& request)
    {
        if (auto expected = request.find("Persimmondoor-Expect-Instance"); expected != request.end() && expected->value() != identity_.id_)
            co_return Answer(421, "{}");
        std::string target(request.target());
        if (request.method() != beast::http::verb::post)
            co_return Answer(404, "{}");
        json::object body = json::parse(request.body()).as_object();
        int64_t fence = numberOf(body, "fence");
        if (fence < fence_)
            co_return refuse("fence");
        fence_ = fence;
        if (target == "/run-start")
            co_return start(body);
        if (target == "/run-stop")
            co_return stop(body);
        if (target == "/hold")
            co_return co_await hold(body);
        if (target == "/pace")
            co_return done();
        co_return Answer(404, "{}");
    }

    static int64_t numberOf(const json::object& body, const char* name)
    {
        const json::value* value = body.if_contains(name);
        return value ? value->to_number<int64_t>() : 0;
    }

    void extendLease(int64_t untilMs) { leaseUntilMs_ = std::max(leaseUntilMs_, std::min(untilMs, clockMs() + longestLeaseMs)); }

    Answer start(const json::object& body)
    {
        std::string task(body.at("task").as_string());
        int64_t number = numberOf(body, "run");
        int64_t untilMs = numberOf(body, "untilMs");
        if (untilMs <= clockMs())
            return refuse("late");
        extendLease(untilMs);
        auto known = runs_.find(task);
        if (known != runs_.end() && known->second.number_ == number)
            return reply(200, {});
        if (known != runs_.end() || number <= highestRuns_[task])
            return refuse("old");
        StepFacts facts = ledger_.factsOf(task);
        if (usedCpu_ + facts.cpu_ > identity_.cpu_ || usedMemMb_ + facts.memMb_ > identity_.memMb_)
            return refuse("room");
        usedCpu_ += facts.cpu_;
        usedMemMb_ += facts.memMb_;
        const json::value* saved = body.if_contains("saved");
        // The same part of the spread for each run of a task, so that a case repeats.
        int64_t spread = facts.spreadMs_ > 0 ? static_cast<int64_t>(std::hash<std::string>()(task) % static_cast<size_t>(facts.spreadMs_)) : 0;
        runs_[task] = { number, facts, steadyMs(), steadyMs() + facts.workMs_ + spread, saved ? std::string(saved->as_string()) : "", false };
        record(task, number, "start");
        if (!facts.lasts_)
            asio::co_spawn(context_, endAfter(Millis(facts.workMs_ + spread), task, number, "done"), asio::detached);
        return reply(200, {});
    }

    Answer stop(const json::object& body)
    {
        std::string task(body.at("task").as_string());
        int64_t number = numberOf(body, "run");
        highestRuns_[task] = std::max(highestRuns_[task], number);
        auto run = runs_.find(task);
        if (run != runs_.end() && run->second.number_ <= number && !run->second.isStopping_) {
            run->second.isStopping_ = true;
            asio::co_spawn(context_, endAfter(Millis(stopMs), task, run->second.number_, "stopped"), asio::detached);
        }
        return reply(200, {});
    }

    asio::awaitable<void> endAfter(Millis delay, std::string task, int64_t number, std::string how)
    {
        co_await sleepFor(delay);
        auto run = runs_.find(task);
        if (run != runs_.end() && run->second.number_ == number)
            end(run, how);
    }

    void end(std::map<std::string, Run>::iterator run, const std::string& how)
    {
        const auto& [task, state] = *run;
        ended_.push_back({ ++ends_, task, state.number_, how, how == "done" ? "" : savedOf(task, state) });
        largestBacklog_ = std::max(largestBacklog_, ended_.size());
        highestRuns_[task] = std::max(highestRuns_[task], state.number_);
        record(task, state.number_, "end", how);
        usedCpu_ -= state.facts_.cpu_;
        usedMemMb_ -= state.facts_.memMb_;
        runs_.erase(run);
    }

    Answer lists() const
    {
        json::array running;
        for (const auto& [task, run] : runs_)
            running.emplace_back(json::array { task, run.number_, savedOf(task, run), percentOf(run), run.facts_.lasts_ ? 0 : run.facts_.cpu_ });
        json::array ended;
        for (const End& end : ended_) {
            if (ended.size() == endsPerAnswer)
                break;
            ended.emplace_back(json::array { end.number_, end.task_, end.run_, end.how_, end.saved_ });
        }
        return reply(200, { { "running", std::move(running) }, { "ended", std::move(ended) } });
    }

    asio::awaitable<Answer> hold(const json::object& body)
    {
        int64_t acknowledged = numberOf(body, "ackedUpto");
        while (!ended_.empty() && ended_.front().number_ <= acknowledged) {
            record(ended_.front().task_, ended_.front().run_, "noted", ended_.front().how_);
            ended_.pop_front();
        }
        if (body.if_contains("untilMs"))
            extendLease(numberOf(body, "untilMs"));
        int64_t waitUntil = steadyMs() + std::min(numberOf(body, "waitMs"), longestWaitMs);
        while (ended_.empty() && steadyMs() < waitUntil)
            co_await sleepFor(Millis(10));
        co_return lists();
    }

    // The newest checkpoint: a new one with each second of work, and before the first the one that the run was started with.
    static std::string savedOf(const std::string& task, const Run& run)
    {
        int64_t seconds = (steadyMs() - run.beganAtMs_) / checkpointMs;
        if (run.facts_.savedBytes_ == 0 || seconds == 0)
            return run.saved_;
        std::string text;
        for (size_t part = 0; text.size() < run.facts_.savedBytes_; ++part) {
            std::array<char, 17> digits {};
            std::snprintf(digits.data(), digits.size(), "%016zx", std::hash<std::string>()(task + "/" + std::to_string(run.number_ * 1000 + seconds) + "/" + std::to_string(part)));
            text += digits.data();
        }
        return text.substr(0, run.facts_.savedBytes_);
    }

    static int64_t percentOf(const Run& run)
    {
        int64_t age = steadyMs() - run.beganAtMs_;
        if (run.facts_.lasts_)
            return age < startupMs ? 0 : 100;
        return std::min<int64_t>(99, 100 * age / std::max<int64_t>(run.endsAtMs_ - run.beganAtMs_, 1));
    }

    asio::awaitable<void> watchLease()
    {
        for (;;) {
            co_await sleepFor(Millis(10));
            while (!runs_.empty() && clockMs() > leaseUntilMs_)
                end(runs_.begin(), "lapsed");
        }
    }

    json::object heartbeat(int64_t sequence) const
    {
        return { { "service", identity_.service_ }, { "addr", advertised_.text() }, { "zone", identity_.zone_ }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 },
            { "capacity", json::object { { "cpu", identity_.cpu_ }, { "memMb", identity_.memMb_ }, { "gpu", 0 } } }, { "labels", json::array { identity_.kind_, identity_.rack_ } }, { "machine", identity_.machine_ },
            { "clockMs", clockMs() }, { "born", bornMs_ }, { "seq", sequence } };
    }

    // Ends with the incarnation that was born at `bornMs`.
    asio::awaitable<void> sendHeartbeats(int64_t bornMs)
    {
        for (int64_t sequence = 1; server_ && !isDark_ && bornMs == bornMs_; ++sequence) {
            json::object body = heartbeat(sequence);
            std::string target = "/instances/" + identity_.id_;
            std::string text = json::serialize(body);
            co_await call(agent_, "PUT", std::move(target), std::move(text), Millis(1000));
            co_await sleepFor(Millis(1100));
        }
    }

    asio::io_context& context_;
    Identity identity_;
    Ledger& ledger_;
    int64_t bornMs_ { wallMs() };
    int64_t bornSteadyMs_ { steadyMs() - 1'000 };
    int64_t fence_ { 0 };
    int64_t leaseUntilMs_ { 0 };
    int64_t usedCpu_ { 0 };
    int64_t usedMemMb_ { 0 };
    std::map<std::string, Run> runs_;
    // The highest run of each task that was stopped or has ended here.
    std::map<std::string, int64_t> highestRuns_;
    std::deque<End> ended_;
    int64_t ends_ { 0 };
    size_t largestBacklog_ { 0 };
    bool isDark_ { false };
    std::string ip_;
    std::unique_ptr<Server> server_;
    Endpoint address_;
    Endpoint agent_;
    Endpoint advertised_;
};

} // namespace review
