#include "persimmondoor/colocation/ColocationActor.h"
#include "persimmondoor/core/Visitor.h"

#include <boost/json.hpp>

namespace persimmondoor::colocation {

namespace asio = boost::asio;
namespace json = boost::json;

static constexpr int64_t microsecondsPerMillisecond = 1000;

static json::object toJson(const Estimate& estimate)
{
    return { { "mean", estimate.mean_ }, { "deviation", estimate.deviation_ } };
}

static json::object toJson(const ComparedTask& compared)
{
    return { { "task", compared.task_.value() }, { "class", compared.class_.value() }, { "harm", toJson(compared.harm_) }, { "share_before", compared.shareBefore_ },
        { "share_after", compared.shareAfter_ }, { "lost_work_ms", compared.lostWork_.count() / microsecondsPerMillisecond } };
}

static json::object toJson(const Explanation& explanation)
{
    json::array compared;
    for (const ComparedTask& each : explanation.compared_)
        compared.push_back(toJson(each));
    return { { "at_ms", explanation.at_.microseconds() / microsecondsPerMillisecond }, { "cause", std::string(describe(explanation.cause_)) },
        { "service", explanation.service_.value() }, { "measured_at_ms", explanation.measuredAt_.microseconds() / microsecondsPerMillisecond },
        { "measured_tail_ms", explanation.measuredTail_ }, { "load", explanation.load_ }, { "load_ahead", explanation.loadAhead_ }, { "baseline_ms", explanation.baseline_ },
        { "slowdown", toJson(explanation.slowdown_) }, { "target", explanation.target_ }, { "compared", std::move(compared) } };
}

static json::object toJson(const ActionRecord& record)
{
    json::object result = std::visit(Visitor {
                                         [](const SetShare& set) {
                                             return json::object { { "action", "throttle" }, { "task", set.task_.value() }, { "share", set.share_ }, { "explanation", toJson(set.explanation_) } };
                                         },
                                         [](const SetAccepting& set) {
                                             return json::object { { "action", "accept" }, { "accepting", set.accepting_ }, { "explanation", toJson(set.explanation_) } };
                                         },
                                         [](const Evict& evict) {
                                             return json::object { { "action", "evict" }, { "task", evict.task_.value() }, { "explanation", toJson(evict.explanation_) } };
                                         },
                                         [](const PublishObservation& observed) {
                                             return json::object { { "action", "observe" }, { "service", observed.service_.value() } };
                                         },
                                     },
        record.action_);
    result["sequence"] = record.sequence_.value();
    return result;
}

static bool concerns(const ActionRecord& record, const std::string& task)
{
    return std::visit(Visitor {
                          [&](const SetShare& set) { return set.task_.value() == task; },
                          [&](const Evict& evict) { return evict.task_.value() == task; },
                          [](const auto&) { return false; },
                      },
        record.action_);
}

static asio::awaitable<http::Response> answerActions(ColocationActor actor, http::Request request)
{
    absl::StatusOr<std::vector<ActionRecord>> records = co_await actor.explain();
    if (!records.ok()) {
        json::object error { { "error", std::string(records.status().message()) } };
        co_return http::Response { 503, { { "Content-Type", "application/json" } }, json::serialize(error) };
    }
    std::optional<std::string> task = http::queryParameter(request, "task");
    json::array actions;
    for (const ActionRecord& record : *records) {
        if (!task || concerns(record, *task))
            actions.push_back(toJson(record));
    }
    json::object body { { "actions", std::move(actions) } };
    co_return http::Response { 200, { { "Content-Type", "application/json" } }, json::serialize(body) };
}

void offerColocation(http::Routes& routes, ColocationActor actor)
{
    routes.add("GET", "/v1/explain/actions", [actor](http::Request request) { return answerActions(actor, std::move(request)); });
}

} // namespace persimmondoor::colocation
