#include "persimmondoor/workflow/Record.h"

#include "persimmondoor/core/Text.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <map>

namespace persimmondoor::workflow {

namespace json = boost::json;

static json::object encodeStep(const Step& step)
{
    json::object object { { "count", step.count_ }, { "cores", step.demand_.milliCores() }, { "memory", step.demand_.memoryBytes() }, { "accelerators", step.demand_.accelerators() },
        { "estimate", step.estimate_.count() }, { "gang", step.gang_ }, { "saves", step.savesProgress_ }, { "one_rack", step.rackSensitive_ }, { "copies", step.speculative_ },
        { "long", step.longRunning_ }, { "fills", step.isFilling_ }, { "label", step.requiredLabel_ }, { "rack", step.dataRack_ }, { "per_worker", step.maxPerWorker_ },
        { "may_miss", step.mayMiss_ }, { "target", step.targetTailMs_ }, { "image", step.image_ } };
    json::array after;
    for (uint32_t earlier : step.dependencies_)
        after.emplace_back(earlier);
    object["after"] = std::move(after);
    return object;
}

static json::object encodeSpecObject(const JobSpec& spec)
{
    json::array steps;
    for (const Step& step : spec.steps())
        steps.emplace_back(encodeStep(step));
    return { { "payload", spec.payload() }, { "steps", std::move(steps) }, { "occurrences", spec.schedule().occurrences_ }, { "first_due", spec.schedule().firstDueMs_ }, { "period", spec.schedule().periodMs_ } };
}

static std::string textOf(const json::object& object, std::string_view name)
{
    return std::string(object.at(name).as_string());
}

static uint32_t countOf(const json::object& object, std::string_view name)
{
    return object.at(name).to_number<uint32_t>();
}

static Step decodeStep(const json::object& object)
{
    Step step;
    step.count_ = countOf(object, "count");
    auto demand = Resources::create(object.at("cores").to_number<int64_t>(), object.at("memory").to_number<int64_t>(), object.at("accelerators").to_number<int64_t>());
    if (!demand.ok())
        throw std::invalid_argument(std::string(demand.status().message()));
    step.demand_ = *demand;
    step.estimate_ = Duration(object.at("estimate").to_number<int64_t>());
    step.gang_ = object.at("gang").as_bool();
    step.savesProgress_ = object.at("saves").as_bool();
    step.rackSensitive_ = object.at("one_rack").as_bool();
    step.speculative_ = object.at("copies").as_bool();
    step.longRunning_ = object.at("long").as_bool();
    step.isFilling_ = object.at("fills").as_bool();
    step.requiredLabel_ = textOf(object, "label");
    step.dataRack_ = textOf(object, "rack");
    step.maxPerWorker_ = countOf(object, "per_worker");
    step.mayMiss_ = countOf(object, "may_miss");
    step.targetTailMs_ = countOf(object, "target");
    step.image_ = textOf(object, "image");
    for (const json::value& earlier : object.at("after").as_array())
        step.dependencies_.push_back(earlier.to_number<uint32_t>());
    return step;
}

static absl::StatusOr<JobSpec> decodeSpecObject(const json::object& object)
{
    std::vector<Step> steps;
    for (const json::value& step : object.at("steps").as_array())
        steps.push_back(decodeStep(step.as_object()));
    Schedule schedule { countOf(object, "occurrences"), object.at("first_due").to_number<int64_t>(), object.at("period").to_number<int64_t>() };
    return JobSpec::create(textOf(object, "payload"), std::move(steps), schedule);
}

// Runs `decode` on the JSON object in `text` and returns exceptions as InvalidArgument: Boost.JSON throws for missing and
// mistyped fields. `name` says what the text is, for the error.
template <typename Decode>
static auto decodeObject(std::string_view name, std::string_view text, Decode decode) -> decltype(decode(json::object()))
{
    std::string error;
    try {
        return decode(json::parse(text).as_object());
    } catch (const std::exception& failure) {
        error = failure.what();
    }
    return absl::InvalidArgumentError(concat("malformed ", name, " of ", text.size(), " bytes: ", error));
}

std::string encodeSpec(const JobSpec& spec)
{
    return json::serialize(encodeSpecObject(spec));
}

absl::StatusOr<JobSpec> decodeSpec(std::string_view text)
{
    return decodeObject("job spec", text, decodeSpecObject);
}

std::string encodeRecord(const JobRecord& record)
{
    const Queue& queue = record.queue_;
    json::object object { { "id", record.id_.value() }, { "queue", queue.name_ }, { "host", queue.host_ }, { "prefix", queue.prefix_ }, { "service", queue.service_ },
        { "priority", queue.priority_ }, { "attempts", queue.maxAttempts_ }, { "stretch", queue.stretch_ }, { "target", queue.targetLatency_.count() },
        { "timeout", queue.timeout_.count() }, { "accepted", record.acceptedMs_ }, { "spec", encodeSpecObject(record.spec_) } };
    return json::serialize(object);
}

static absl::StatusOr<JobRecord> decodeRecordObject(const json::object& object)
{
    JobRecord record;
    auto id = JobId::create(textOf(object, "id"));
    if (!id.ok())
        return id.status();
    record.id_ = *std::move(id);
    record.queue_ = { textOf(object, "queue"), textOf(object, "host"), textOf(object, "prefix"), textOf(object, "service"), countOf(object, "priority"), countOf(object, "attempts"),
        object.at("stretch").to_number<double>(), Duration(object.at("target").to_number<int64_t>()), Duration(object.at("timeout").to_number<int64_t>()) };
    record.acceptedMs_ = object.at("accepted").to_number<int64_t>();
    auto spec = decodeSpecObject(object.at("spec").as_object());
    if (!spec.ok())
        return spec.status();
    record.spec_ = *std::move(spec);
    return record;
}

absl::StatusOr<JobRecord> decodeRecord(std::string_view text)
{
    return decodeObject("job record", text, decodeRecordObject);
}

// A task is encoded as [phase, run, failures, index of the worker, checkpoint]; empty fields at the end are left out. The
// workers are in a separate list, as most tasks of a job share a few workers. So are the crashes, as few tasks have any: one list
// of [task, crashes, those with an unconfirmed start] and, for the series, one of [task, crashes, evidence, age]. Earlier versions
// leave out the number of unconfirmed starts.
std::string encodeProgress(const Progress& progress)
{
    json::array workers;
    json::array tasks;
    json::array crashes;
    json::array series;
    std::map<WorkerIncarnation, int64_t> numbers;
    for (const TaskProgress& task : progress.tasks_) {
        json::array fields { static_cast<int>(task.phase_), task.run_, task.failures_ };
        bool hasWorker = task.phase_ == TaskPhase::Assigned;
        if (hasWorker || !task.checkpoint_.empty()) {
            auto [number, isNew] = numbers.try_emplace(task.worker_, static_cast<int64_t>(numbers.size()));
            if (isNew)
                workers.emplace_back(json::array { task.worker_.name_, task.worker_.bornMs_, task.worker_.host_ });
            fields.emplace_back(number->second);
        }
        if (!task.checkpoint_.empty())
            fields.emplace_back(task.checkpoint_);
        if (task.crashes_ > 0)
            crashes.emplace_back(json::array { tasks.size(), task.crashes_, task.unconfirmedCrashes_ });
        if (task.crashSeries_.count_ > 0)
            series.emplace_back(json::array { tasks.size(), task.crashSeries_.count_, task.crashSeries_.evidence_, task.crashSeries_.ageMs_ });
        tasks.emplace_back(std::move(fields));
    }
    json::object object { { "cancelled", progress.isCancelled_ }, { "failed", progress.hasFailed_ }, { "started", progress.hasStarted_ }, { "workers", std::move(workers) }, { "tasks", std::move(tasks) } };
    if (!crashes.empty())
        object["crashes"] = std::move(crashes);
    if (!series.empty())
        object["crash_series"] = std::move(series);
    return json::serialize(object);
}

std::string encodeProgressWithin(size_t maximumBytes, const Progress& progress)
{
    std::string row = encodeProgress(progress);
    if (row.size() <= maximumBytes)
        return row;
    Progress withoutCheckpoints = progress;
    for (TaskProgress& task : withoutCheckpoints.tasks_)
        task.checkpoint_.clear();
    return encodeProgress(withoutCheckpoints);
}

static TaskProgress decodeTask(const json::array& fields, const std::vector<WorkerIncarnation>& workers)
{
    TaskProgress task;
    auto phase = fields.at(0).to_number<uint8_t>();
    if (phase > static_cast<uint8_t>(TaskPhase::Done))
        throw std::invalid_argument(concat("a task has phase ", phase, ", expected 0 to ", static_cast<int>(TaskPhase::Done)));
    task.phase_ = static_cast<TaskPhase>(phase);
    task.run_ = fields.at(1).to_number<uint32_t>();
    task.failures_ = fields.at(2).to_number<uint32_t>();
    if (fields.size() > 3)
        task.worker_ = workers.at(fields.at(3).to_number<size_t>());
    if (fields.size() > 4)
        task.checkpoint_ = std::string(fields.at(4).as_string());
    return task;
}

// Both lists are absent in rows of earlier versions.
static void decodeCrashes(const json::object& object, Progress& progress)
{
    static const json::value none = json::array();
    const json::value* crashes = object.if_contains("crashes");
    for (const json::value& item : (crashes ? *crashes : none).as_array()) {
        const json::array& fields = item.as_array();
        TaskProgress& task = progress.tasks_.at(fields.at(0).to_number<size_t>());
        task.crashes_ = fields.at(1).to_number<uint32_t>();
        if (fields.size() > 2)
            task.unconfirmedCrashes_ = fields.at(2).to_number<uint32_t>();
    }
    const json::value* series = object.if_contains("crash_series");
    for (const json::value& item : (series ? *series : none).as_array()) {
        const json::array& fields = item.as_array();
        progress.tasks_.at(fields.at(0).to_number<size_t>()).crashSeries_ = { fields.at(1).to_number<uint32_t>(), fields.at(2).to_number<uint32_t>(), fields.at(3).to_number<int64_t>() };
    }
}

static absl::StatusOr<Progress> decodeProgressObject(const json::object& object)
{
    Progress progress;
    progress.isCancelled_ = object.at("cancelled").as_bool();
    progress.hasFailed_ = object.at("failed").as_bool();
    progress.hasStarted_ = object.at("started").as_bool();
    std::vector<WorkerIncarnation> workers;
    for (const json::value& item : object.at("workers").as_array()) {
        const json::array& worker = item.as_array();
        workers.push_back({ std::string(worker.at(0).as_string()), worker.at(1).to_number<int64_t>(), std::string(worker.at(2).as_string()) });
    }
    for (const json::value& task : object.at("tasks").as_array())
        progress.tasks_.push_back(decodeTask(task.as_array(), workers));
    decodeCrashes(object, progress);
    return progress;
}

absl::StatusOr<Progress> decodeProgress(std::string_view text)
{
    return decodeObject("job progress", text, decodeProgressObject);
}

// A long-running image is encoded as [lowest tail latency, { filling image: [factor, variance] }].
std::string encodeInterference(const Interference& estimates)
{
    json::object images;
    for (const auto& [longRunning, sensitivity] : estimates.sensitivities_) {
        json::object factors;
        size_t position = 0;
        for (const auto& [filling, factor] : sensitivity.factors_)
            factors[filling] = json::array { factor, varianceOf(sensitivity, position++) };
        images[longRunning] = json::array { sensitivity.unloadedMs_, std::move(factors) };
    }
    return json::serialize(images);
}

static absl::StatusOr<Interference> decodeInterferenceObject(const json::object& object)
{
    Interference estimates;
    for (const auto& [longRunning, value] : object) {
        const json::array& fields = value.as_array();
        Sensitivity& sensitivity = estimates.sensitivities_[std::string(longRunning)];
        sensitivity.unloadedMs_ = fields.at(0).to_number<uint32_t>();
        std::map<std::string, double> variances;
        for (const auto& [filling, factor] : fields.at(1).as_object()) {
            std::string image(filling);
            sensitivity.factors_[image] = factor.as_array().at(0).to_number<double>();
            variances[image] = factor.as_array().at(1).to_number<double>();
        }
        size_t count = variances.size();
        sensitivity.covariances_.resize(count * count);
        size_t position = 0;
        for (const auto& [image, variance] : variances) {
            sensitivity.covariances_[position * count + position] = variance;
            ++position;
        }
    }
    return estimates;
}

absl::StatusOr<Interference> decodeInterference(std::string_view text)
{
    return decodeObject("interference estimates", text, decodeInterferenceObject);
}

} // namespace persimmondoor::workflow
