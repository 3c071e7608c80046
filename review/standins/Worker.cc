#include "Worker.h"

#include <algorithm>
#include <boost/json.hpp>

namespace persimmondoor::review {

namespace json = boost::json;

// As the platform states them, in milliseconds.
static constexpr int64_t heartbeatMs = 1000;
static constexpr int64_t longestLeaseMs = 10'000;
static constexpr int64_t checkpointMs = 1000;
static constexpr int64_t restoreMs = 100;
static constexpr int64_t gangTimeoutMs = 3000;
static constexpr size_t listedEnds = 500;
static constexpr int64_t startUpMs = 400;
// A stop takes at most 900 ms.
static constexpr int64_t stopMs = 300;
static constexpr auto workInterval = std::chrono::milliseconds(10);
static constexpr int64_t workerMilliCores = 64'000;
static constexpr int64_t workerMemoryMb = 250'000;

std::string stepOf(const std::string& task)
{
    return task.substr(0, task.rfind('.'));
}

void Fleet::setWork(const std::string& step, Work work)
{
    std::lock_guard lock(mutex_);
    work_[step] = work;
}

Work Fleet::workOf(const std::string& task)
{
    std::lock_guard lock(mutex_);
    auto known = work_.find(stepOf(task));
    return known == work_.end() ? Work {} : known->second;
}

void Fleet::addSaved(const std::string& saved, int64_t doneMs)
{
    std::lock_guard lock(mutex_);
    saved_[saved] = doneMs;
}

int64_t Fleet::savedWork(const std::string& saved)
{
    std::lock_guard lock(mutex_);
    auto known = saved_.find(saved);
    return known == saved_.end() ? 0 : known->second;
}

size_t Fleet::begin(RunSpan span)
{
    record_.write("worker " + span.worker_ + " starts " + span.task_ + " run " + std::to_string(span.run_) + " saved '" + span.saved_ + "'");
    std::lock_guard lock(mutex_);
    span.startMs_ = steadyMs();
    spans_.push_back(std::move(span));
    return spans_.size() - 1;
}

void Fleet::end(size_t span, const std::string& how)
{
    RunSpan ended;
    {
        std::lock_guard lock(mutex_);
        spans_[span].endMs_ = steadyMs();
        spans_[span].how_ = how;
        ended = spans_[span];
    }
    record_.write("worker " + ended.worker_ + " ends " + ended.task_ + " run " + std::to_string(ended.run_) + ": " + how);
}

std::vector<RunSpan> Fleet::spans()
{
    std::lock_guard lock(mutex_);
    return spans_;
}

int64_t Fleet::togetherSince(const std::string& step, uint32_t run, uint32_t size)
{
    std::lock_guard lock(mutex_);
    std::set<std::string> members;
    std::set<std::string> values;
    int64_t since = 0;
    for (const RunSpan& span : spans_) {
        if (span.endMs_ != 0 || span.run_ != run || stepOf(span.task_) != step)
            continue;
        members.insert(span.task_);
        values.insert(span.saved_);
        since = std::max(since, span.startMs_);
    }
    return members.size() == size && values.size() == 1 ? since : 0;
}

Worker::Worker(WorkerPlace place, Fleet& fleet, std::function<void(const std::string&, uint32_t)> onStart)
    : place_(std::move(place))
    , fleet_(fleet)
    , onStart_(std::move(onStart))
{
    fleet_.record().write("worker " + place_.id_ + " is born");
    server_ = std::make_unique<Server>(place_.ip_, place_.port_, [this](const Request& request) { return serve(request); });
    worker_ = std::thread([this] { work(); });
    beats_ = std::thread([this] { beat(); });
}

Worker::~Worker()
{
    crash();
    worker_.join();
    beats_.join();
    server_.reset();
}

void Worker::crash()
{
    {
        std::lock_guard lock(mutex_);
        if (isOver_)
            return;
        isOver_ = true;
        for (const auto& [task, run] : running_)
            fleet_.end(run.span_, "crash");
        running_.clear();
    }
    changed_.notify_all();
    server_->stop();
    fleet_.record().write("worker " + place_.id_ + " is gone");
}

void Worker::drain()
{
    std::lock_guard lock(mutex_);
    isDraining_ = true;
}

void Worker::cutOff()
{
    isCutOff_ = true;
    fleet_.record().write("worker " + place_.id_ + " is cut off from its agent");
}

void Worker::leave()
{
    Response response = exchange(place_.ip_, place_.controlPort_, { "DELETE", "/instances/" + place_.id_, { { "Host", "control" } }, "" }, 1000);
    fleet_.record().write("worker " + place_.id_ + " sends DELETE -> " + std::to_string(response.status_));
    crash();
}

size_t Worker::runningCount()
{
    std::lock_guard lock(mutex_);
    return running_.size();
}

bool Worker::hasNotedEnd(const std::string& task)
{
    std::lock_guard lock(mutex_);
    return noted_.contains(task);
}

Response Worker::serve(const Request& request)
{
    if (isCutOff_)
        return { 0, "" };
    auto expected = request.headers_.find("persimmondoor-expect-instance");
    if (expected != request.headers_.end() && expected->second != place_.id_)
        return { 421, "{}" };
    if (request.target_ == "/run-start")
        return start(request.body_);
    if (request.target_ == "/run-stop")
        return stop(request.body_);
    if (request.target_ == "/hold")
        return hold(request.body_);
    if (request.target_ == "/pace")
        return { 200, json::serialize(json::object { { "clockMs", timeMs() } }) };
    return { request.target_ == "/health" ? 200 : 404, "{}" };
}

static int64_t integer(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value ? value->to_number<int64_t>() : 0;
}

static std::string text(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value ? std::string(value->as_string()) : "";
}

bool Worker::isFenced(int64_t fence)
{
    if (fence < fence_)
        return true;
    fence_ = fence;
    return false;
}

void Worker::extendLease(int64_t leaseEndMs)
{
    leaseMs_ = std::max(leaseMs_, std::min(leaseEndMs, timeMs() + longestLeaseMs));
}

Response Worker::start(const std::string& body)
{
    json::object order = json::parse(body).as_object();
    std::string task = text(order, "task");
    auto run = static_cast<uint32_t>(integer(order, "run"));
    auto refuse = [&](const std::string& reason) {
        fleet_.record().write("worker " + place_.id_ + " refuses " + task + " run " + std::to_string(run) + ": " + reason);
        return Response { 409, json::serialize(json::object { { "clockMs", timeMs() }, { "born", bornMs_ }, { "reason", reason } }) };
    };
    Work work = fleet_.workOf(task);
    {
        std::lock_guard lock(mutex_);
        if (isOver_)
            return { -1, "" };
        if (isFenced(integer(order, "fence")))
            return refuse("fence");
        if (integer(order, "untilMs") <= timeMs())
            return refuse("late");
        extendLease(integer(order, "untilMs"));
        auto known = running_.find(task);
        bool isThere = known != running_.end() && known->second.run_ == run;
        if (!isThere) {
            auto ended = highestEnded_.find(task);
            if (known != running_.end() || (ended != highestEnded_.end() && run <= ended->second))
                return refuse("old");
            int64_t milliCores = work.milliCores_;
            int64_t memoryMb = work.memoryMb_;
            for (const auto& [other, active] : running_) {
                milliCores += active.work_.milliCores_;
                memoryMb += active.work_.memoryMb_;
            }
            if (milliCores > workerMilliCores || memoryMb > workerMemoryMb)
                return refuse("room");
            Run& started = running_[task];
            started.run_ = run;
            started.saved_ = text(order, "saved");
            started.work_ = work;
            started.startMs_ = steadyMs();
            started.resumedMs_ = fleet_.savedWork(started.saved_);
            started.span_ = fleet_.begin({ task, run, place_.id_, started.saved_, 0, 0, "" });
        }
    }
    if (onStart_)
        onStart_(task, run);
    return { 200, json::serialize(json::object { { "clockMs", timeMs() }, { "born", bornMs_ } }) };
}

Response Worker::stop(const std::string& body)
{
    json::object order = json::parse(body).as_object();
    std::string task = text(order, "task");
    auto run = static_cast<uint32_t>(integer(order, "run"));
    std::lock_guard lock(mutex_);
    if (isOver_)
        return { -1, "" };
    if (isFenced(integer(order, "fence")))
        return { 409, json::serialize(json::object { { "clockMs", timeMs() }, { "born", bornMs_ }, { "reason", "fence" } }) };
    fleet_.record().write("worker " + place_.id_ + " is told to stop " + task + " run " + std::to_string(run));
    auto known = running_.find(task);
    if (known != running_.end() && known->second.run_ == run && known->second.stopAtMs_ == 0)
        known->second.stopAtMs_ = steadyMs() + stopMs;
    if (known == running_.end())
        highestEnded_[task] = std::max(highestEnded_[task], run);
    return { 200, json::serialize(json::object { { "clockMs", timeMs() }, { "born", bornMs_ } }) };
}

Response Worker::hold(const std::string& body)
{
    json::object request = json::parse(body).as_object();
    std::unique_lock lock(mutex_);
    if (isFenced(integer(request, "fence")))
        return { 409, json::serialize(json::object { { "clockMs", timeMs() }, { "born", bornMs_ }, { "reason", "fence" } }) };
    extendLease(integer(request, "untilMs"));
    int64_t acknowledged = integer(request, "ackedUpto");
    std::erase_if(ended_, [&](const End& end) {
        if (end.number_ > acknowledged)
            return false;
        noted_.insert(end.task_);
        fleet_.record().write("the end of " + end.task_ + " run " + std::to_string(end.run_) + " on " + place_.id_ + " is taken note of");
        return true;
    });
    changed_.wait_for(lock, std::chrono::milliseconds(std::min<int64_t>(integer(request, "waitMs"), 2000)), [&] { return !ended_.empty() || isOver_; });
    if (isOver_)
        return { -1, "" };
    if (isCutOff_)
        return { 0, "" };
    json::array running;
    for (const auto& [task, run] : running_) {
        int64_t percent = std::min<int64_t>(99, 100 * workDoneMs(run) / std::max<int64_t>(run.work_.workMs_, 1));
        if (run.work_.lasts_)
            percent = steadyMs() - run.startMs_ >= startUpMs ? 100 : 0;
        running.emplace_back(json::array { task, run.run_, run.saved_, percent, run.work_.milliCores_ });
    }
    json::array ended;
    for (size_t index = 0; index < std::min(ended_.size(), listedEnds); ++index)
        ended.emplace_back(json::array { ended_[index].number_, ended_[index].task_, ended_[index].run_, ended_[index].how_, ended_[index].saved_ });
    ++lists_;
    return { 200, json::serialize(json::object { { "clockMs", timeMs() }, { "born", bornMs_ }, { "running", running }, { "ended", ended } }) };
}

int64_t Worker::workDoneMs(const Run& run) const
{
    bool isGang = run.work_.gangSize_ > 0;
    int64_t start = isGang ? run.togetherMs_ : run.startMs_;
    if (start == 0)
        return run.resumedMs_;
    int64_t restore = run.resumedMs_ > 0 ? restoreMs : 0;
    return run.resumedMs_ + std::max<int64_t>(0, steadyMs() - start - restore);
}

// A name of the saved work: the worker, the task and a count, spread over the digits as a digest is.
std::string Worker::newSaved(const std::string& task, Run& run)
{
    uint64_t digest = std::hash<std::string>()(task + place_.id_ + std::to_string(run.run_) + "-" + std::to_string(++run.savedCount_));
    std::string saved;
    while (saved.size() < run.work_.savedBytes_) {
        saved.push_back("0123456789abcdef"[digest & 15]);
        digest = (digest >> 4 | digest << 60) * 6364136223846793005ULL + 1442695040888963407ULL;
    }
    fleet_.addSaved(saved, workDoneMs(run));
    run.saved_ = saved;
    return saved;
}

// To be called with the lock held.
void Worker::endRun(const std::string& task, const std::string& how)
{
    auto found = running_.find(task);
    if (found == running_.end())
        return;
    Run& run = found->second;
    bool saves = run.work_.savesProgress_ && how != "done" && workDoneMs(run) > run.resumedMs_;
    std::string saved = how == "done" ? "" : run.saved_;
    if (saves)
        saved = newSaved(task, run);
    ended_.push_back({ ++lastEnd_, task, run.run_, how, saved });
    highestEnded_[task] = std::max(highestEnded_[task], run.run_);
    fleet_.end(run.span_, how);
    running_.erase(found);
}

// Lets a run work, and adds its end if it has come.
void Worker::advance(const std::string& task, Run& run, std::vector<std::pair<std::string, std::string>>& ends)
{
    int64_t now = steadyMs();
    bool isGang = run.work_.gangSize_ > 0;
    int64_t together = isGang ? fleet_.togetherSince(stepOf(task), run.run_, run.work_.gangSize_) : 0;
    if (isGang && run.togetherMs_ == 0)
        run.togetherMs_ = together;
    if (run.stopAtMs_ != 0 && now >= run.stopAtMs_)
        return ends.emplace_back(task, "stopped"), void();
    if (isGang && run.togetherMs_ == 0 && now - run.startMs_ >= gangTimeoutMs)
        return ends.emplace_back(task, "alone"), void();
    if (isGang && run.togetherMs_ != 0 && together == 0 && workDoneMs(run) < run.work_.workMs_)
        return ends.emplace_back(task, "broken"), void();
    int64_t done = workDoneMs(run);
    if (run.work_.lasts_)
        return;
    if (done >= run.work_.workMs_)
        return ends.emplace_back(task, "done"), void();
    bool isSaveDue = run.work_.savesProgress_ && done - fleet_.savedWork(run.saved_) >= checkpointMs;
    if (isSaveDue)
        newSaved(task, run);
}

void Worker::work()
{
    std::unique_lock lock(mutex_);
    while (!isOver_) {
        std::vector<std::pair<std::string, std::string>> ends;
        if (!running_.empty() && timeMs() >= leaseMs_) {
            for (const auto& [task, run] : running_)
                ends.emplace_back(task, "lapsed");
        } else {
            for (auto& [task, run] : running_)
                advance(task, run, ends);
        }
        for (const auto& [task, how] : ends)
            endRun(task, how);
        if (!ends.empty())
            changed_.notify_all();
        changed_.wait_for(lock, workInterval, [&] { return isOver_; });
    }
}

void Worker::beat()
{
    for (int64_t sequence = 1;; ++sequence) {
        std::string state;
        {
            std::lock_guard lock(mutex_);
            if (isOver_)
                return;
            state = isDraining_ ? "draining" : "ready";
        }
        json::object body { { "service", place_.service_ }, { "addr", place_.ip_ + ":" + std::to_string(place_.port_) }, { "zone", place_.zone_ }, { "version", "v1" }, { "slots", 8 }, { "state", state }, { "coldLeftMs", 0 },
            { "capacity", json::object { { "cpu", workerMilliCores }, { "memMb", workerMemoryMb }, { "gpu", 0 } } }, { "labels", json::array { "a", place_.rack_ } }, { "clockMs", timeMs() }, { "born", bornMs_ }, { "seq", sequence } };
        if (state == "draining")
            body["remainingMs"] = 1000;
        if (!isCutOff_)
            exchange(place_.ip_, place_.controlPort_, { "PUT", "/instances/" + place_.id_, { { "Host", "control" }, { "Content-Type", "application/json" } }, json::serialize(body) }, 1000);
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::milliseconds(heartbeatMs), [&] { return isOver_; });
    }
}

} // namespace persimmondoor::review
