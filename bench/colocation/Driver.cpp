#include "Driver.h"

#include "LatencyHistogram.h"
#include "persimmondoor/colocation/Guard.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/placement/Choice.h"

#include <algorithm>
#include <deque>

namespace persimmondoor::colocation {
namespace {

    const ServiceName service = ServiceName::of("service");
    const TeamName team = TeamName::of("team");
    constexpr int publishPeriod = 10;
    constexpr double checkpointPeriod = 300;
    constexpr double checkpointFailureShare = 0.05;
    /// Time for which a task makes no progress while it is checkpointed and restarted.
    constexpr int restartSeconds = 10;
    /// At least the number of distinct kinds of tasks, so that refusals of some kinds never block others.
    constexpr size_t placementsPerSecond = 64;
    constexpr double useNoise = 0.05;
    constexpr double objectiveFactor = 1.1;

    Instant instant(int second)
    {
        return Instant::fromMicroseconds(int64_t { second } * 1'000'000);
    }

    TaskId taskId(size_t number)
    {
        return TaskId::of(concat("t", number));
    }

    TaskClassName className(size_t taskClass)
    {
        return TaskClassName::of(concat("class-", taskClass));
    }

    struct RunningTask {
        size_t task_ { 0 };
        int startsAt_ { 0 };
        double sinceCheckpoint_ { 0 };
        double use_ { 0 };
    };

    /// Measurements of a worker in one second, delivered with a lag.
    struct Measurement {
        double tail_ { 0 };
        double serviceCores_ { 0 };
        std::vector<TaskUse> uses_;
    };

    struct Worker {
        Guard guard_;
        std::vector<RunningTask> running_;
        std::deque<Measurement> measurements_;
        bool isOutOfService_ { false };
    };

    class Run {
    public:
        Run(const Trace& trace, const User& user, const RunSettings& settings)
            : trace_(trace)
            , user_(user)
            , settings_(settings)
            , truth_(GroundTruth::create(trace.seed_))
            , random_(trace.seed_ ^ 0x5eed)
            , model_(SlowdownModel::create())
            , done_(trace.tasks_.size(), 0.0)
        {
            GuardSettings guard { user.cores_, { service }, makePolicy(), workers, workersPerDomain };
            for (size_t index = 0; index < workers; ++index)
                workers_.push_back({ *Guard::create(guard), {}, {}, false });
        }

        RunResult result()
        {
            for (now_ = 0; now_ < trace_.seconds_; ++now_) {
                drainDomain();
                admitArrivals();
                for (size_t worker = 0; worker < workers; ++worker)
                    runSecond(worker);
                if (now_ % publishPeriod == 0 && !trace_.ownerLost_.contains(now_))
                    publish();
                placeWaiting();
            }
            result_.p99_ = tail_.quantile(0.99);
            result_.p999_ = tail_.quantile(0.999);
            return result_;
        }

    private:
        Policy makePolicy() const
        {
            switch (settings_.policy_) {
            case PolicyKind::None:
                return NoColocation {};
            case PolicyKind::Uncontrolled:
                return Uncontrolled {};
            case PolicyKind::Fixed:
                return FixedThreshold { objectiveFactor * meanBaseTail() };
            case PolicyKind::Learned:
                break;
            }
            return *Learned::create(user_.weights_);
        }

        // Tail latency of the service alone at its mean load, as operators would measure it.
        double meanBaseTail() const
        {
            double sum = 0;
            for (const auto& loads : trace_.load_)
                sum += truth_.baseTail(loads[0]);
            return sum / static_cast<double>(trace_.load_.size());
        }

        static size_t domainOf(size_t worker) { return worker / workersPerDomain; }

        void decideAt(size_t worker, const GuardMessage& message)
        {
            GuardDecision decision = decide(std::move(workers_[worker].guard_), message, instant(now_));
            workers_[worker].guard_ = std::move(decision.state_);
            for (const GuardAction& action : decision.actions_) {
                std::visit(Visitor {
                               [&](const SetShare& set) { result_.throttles_ += set.share_ < 1 ? 1 : 0; },
                               [](const SetAccepting&) {},
                               [&](const Evict& evict) { stop(worker, evict.task_, false); },
                               [&](const PublishObservation& observed) { observe(observed); },
                           },
                    action);
            }
        }

        void observe(const PublishObservation& observed)
        {
            if (trace_.ownerLost_.contains(now_))
                return;
            Observation observation = observed.observation_;
            observation.measuredAt_ = instant(now_);
            model_.observe(observation);
        }

        void publish()
        {
            if (settings_.policy_ != PolicyKind::Learned || model_.observations() == 0)
                return;
            for (size_t worker = 0; worker < workers; ++worker)
                decideAt(worker, ModelPublished { service, model_ });
        }

        // Checkpoints a task and moves it to the head of the queue.
        void stop(size_t worker, const TaskId& name, bool planned)
        {
            std::vector<RunningTask>& running = workers_[worker].running_;
            auto found = std::find_if(running.begin(), running.end(), [&](const RunningTask& each) { return taskId(each.task_) == name; });
            if (found == running.end())
                return;
            if (random_.unit() < checkpointFailureShare)
                addWork(found->task_, -found->sinceCheckpoint_);
            (planned ? result_.plannedMoves_ : result_.evictions_) += 1;
            waiting_.push_front(found->task_);
            running.erase(found);
            decideAt(worker, TaskEnded { name });
        }

        void drainDomain()
        {
            for (size_t worker = 0; worker < workers; ++worker) {
                bool isOutOfService = domainOf(worker) == 0 && trace_.domainOut_.contains(now_);
                workers_[worker].isOutOfService_ = isOutOfService;
                while (isOutOfService && !workers_[worker].running_.empty())
                    stop(worker, taskId(workers_[worker].running_.front().task_), true);
            }
        }

        void admitArrivals()
        {
            for (; next_ < trace_.tasks_.size() && trace_.tasks_[next_].arrivesAt_ <= now_; ++next_)
                waiting_.push_back(next_);
        }

        double loadOf(size_t worker) const
        {
            if (!trace_.domainOut_.contains(now_))
                return trace_.load_[static_cast<size_t>(now_)][worker];
            if (domainOf(worker) == 0)
                return 0;
            return trace_.load_[static_cast<size_t>(now_)][worker] * workers / (workers - workersPerDomain);
        }

        void addWork(size_t task, double coreSeconds)
        {
            done_[task] += coreSeconds;
            result_.work_ += coreSeconds / 3600;
            if (trace_.domainOut_.begin_ > 0 && now_ >= trace_.domainOut_.begin_ && now_ < trace_.domainOut_.end_ + trace_.seconds_ / 6)
                result_.workAroundOutage_ += coreSeconds / 3600;
        }

        void runSecond(size_t index)
        {
            Worker& worker = workers_[index];
            double load = loadOf(index);
            double serviceCores = load * user_.serviceCoresAtFullLoad_;
            if (!worker.isOutOfService_)
                decideAt(index, LoadSampled { service, load });
            double wanted = 0;
            for (RunningTask& each : worker.running_) {
                const BatchTask& task = trace_.tasks_[each.task_];
                each.use_ = now_ < each.startsAt_ ? 0 : task.cores_ * worker.guard_.share(taskId(each.task_));
                wanted += each.use_;
            }
            double granted = wanted > 0 ? std::min(1.0, std::max(0.0, user_.cores_ - serviceCores) / wanted) : 1;
            std::array<double, taskClasses> shares {};
            Measurement measurement { 0, serviceCores, {} };
            for (const RunningTask& each : worker.running_) {
                shares[trace_.tasks_[each.task_].class_] += each.use_ * granted / user_.cores_;
                measurement.uses_.push_back({ taskId(each.task_), each.use_ * granted * (1 + useNoise * random_.normal()) });
            }
            measurement.tail_ = truth_.tail(load, (serviceCores + wanted) / user_.cores_, shares);
            if (!worker.isOutOfService_)
                tail_.add(measurement.tail_, load);
            advanceTasks(index, granted);
            deliver(index, std::move(measurement));
        }

        void advanceTasks(size_t index, double granted)
        {
            Worker& worker = workers_[index];
            std::vector<TaskId> ended;
            for (RunningTask& each : worker.running_) {
                const BatchTask& task = trace_.tasks_[each.task_];
                double work = std::min(each.use_ * granted, task.work_ - done_[each.task_]);
                addWork(each.task_, work);
                each.sinceCheckpoint_ += work;
                bool periodic = now_ > each.startsAt_ && (now_ - each.startsAt_) % static_cast<int>(checkpointPeriod) == 0;
                if (periodic) {
                    each.sinceCheckpoint_ = 0;
                    decideAt(index, TaskCheckpointed { taskId(each.task_) });
                }
                if (done_[each.task_] >= task.work_ - 1e-6)
                    ended.push_back(taskId(each.task_));
            }
            result_.finished_ += static_cast<int>(ended.size());
            std::erase_if(worker.running_, [&](const RunningTask& each) { return done_[each.task_] >= trace_.tasks_[each.task_].work_ - 1e-6; });
            for (const TaskId& name : ended)
                decideAt(index, TaskEnded { name });
        }

        void deliver(size_t index, Measurement measurement)
        {
            Worker& worker = workers_[index];
            worker.measurements_.push_back(std::move(measurement));
            if (worker.measurements_.size() <= static_cast<size_t>(settings_.lagSeconds_))
                return;
            Measurement delivered = std::move(worker.measurements_.front());
            worker.measurements_.pop_front();
            double measured = delivered.tail_ * std::exp(settings_.noise_ * random_.normal());
            if (worker.isOutOfService_)
                return;
            Instant at = instant(now_ - settings_.lagSeconds_);
            decideAt(index, UsageSampled { at, std::move(delivered.uses_) });
            decideAt(index, TailMeasured { service, at, measured, delivered.serviceCores_ });
        }

        static Resources cores(double amount)
        {
            return *Resources::create(static_cast<int64_t>(std::max(0.0, amount) * 1000), 0, 0);
        }

        std::vector<placement::Offer> makeOffers() const
        {
            std::vector<placement::Offer> offers;
            for (size_t index = 0; index < workers; ++index) {
                const Worker& worker = workers_[index];
                double free = batchCapacity(user_);
                for (const RunningTask& each : worker.running_)
                    free -= trace_.tasks_[each.task_].declaredCores_;
                offers.push_back({ WorkerName::of(concat("w", index)), FailureDomainName::of(concat("d", domainOf(index))), RackName::of(concat("r", domainOf(index))),
                    cores(batchCapacity(user_)), cores(free), static_cast<uint32_t>(worker.running_.size()), worker.guard_.pressure(), worker.guard_.accepting() && !worker.isOutOfService_ });
            }
            return offers;
        }

        void placeWaiting()
        {
            std::stable_sort(waiting_.begin(), waiting_.end(), [&](size_t left, size_t right) { return trace_.tasks_[left].tier_ < trace_.tasks_[right].tier_; });
            std::vector<placement::Offer> offers = makeOffers();
            std::set<std::tuple<size_t, Tier, double>> refused;
            std::deque<size_t> remaining;
            size_t tried = 0;
            for (size_t number : waiting_) {
                const BatchTask& task = trace_.tasks_[number];
                std::tuple kind { task.class_, task.tier_, task.declaredCores_ };
                bool placed = false;
                if (tried < placementsPerSecond && !refused.contains(kind)) {
                    ++tried;
                    placed = place(number, offers);
                }
                if (!placed) {
                    refused.insert(kind);
                    remaining.push_back(number);
                }
            }
            waiting_ = std::move(remaining);
        }

        bool place(size_t number, std::vector<placement::Offer>& offers)
        {
            const BatchTask& task = trace_.tasks_[number];
            placement::PlacementRequest request;
            request.task_ = taskId(number);
            request.team_ = team;
            request.priority_ = { task.tier_, placement::Urgency::Normal };
            request.resources_ = cores(task.declaredCores_);
            request.seed_ = trace_.seed_ + number;
            for (size_t index = 0; index < workers; ++index) {
                bool fits = request.resources_.fitsIn(offers[index].free_);
                if (fits && !workers_[index].guard_.admits(className(task.class_), task.tier_, task.declaredCores_))
                    request.avoidedWorkers_.insert(offers[index].worker_);
            }
            placement::PlacementChoice choice = placement::choosePlacement(request, offers);
            const auto* placed = std::get_if<placement::Placed>(&choice);
            if (!placed)
                return false;
            size_t index = 0;
            while (offers[index].worker_ != placed->site_.worker_)
                ++index;
            offers[index].free_ = offers[index].free_ - request.resources_;
            bool isRestart = done_[number] > 0;
            workers_[index].running_.push_back({ number, now_ + (isRestart ? restartSeconds : 1), 0, 0 });
            auto runTime = Duration(static_cast<int64_t>(task.declaredSeconds_ * 1e6));
            decideAt(index, TaskStarted { taskId(number), className(task.class_), task.tier_, task.declaredCores_, runTime, true });
            return true;
        }

        const Trace& trace_;
        const User& user_;
        const RunSettings& settings_;
        GroundTruth truth_;
        Random random_;
        SlowdownModel model_;
        std::vector<double> done_;
        std::vector<Worker> workers_;
        std::deque<size_t> waiting_;
        size_t next_ { 0 };
        int now_ { 0 };
        LatencyHistogram tail_;
        RunResult result_;
    };

} // namespace

const char* describe(PolicyKind kind)
{
    switch (kind) {
    case PolicyKind::None:
        return "no colocation";
    case PolicyKind::Uncontrolled:
        return "no control";
    case PolicyKind::Fixed:
        return "fixed threshold";
    case PolicyKind::Learned:
        break;
    }
    return "learned";
}

RunResult run(const Trace& trace, const User& user, const RunSettings& settings)
{
    return Run(trace, user, settings).result();
}

} // namespace persimmondoor::colocation
