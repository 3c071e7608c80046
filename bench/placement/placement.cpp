/// Measures placement decisions per second and the loss of quality when a sample of the workers is probed instead of
/// all of them, on the same seeded arrivals.
///
///   bench_placement [--json]
#include "persimmondoor/core/Text.h"
#include "persimmondoor/placement/Choice.h"
#include "persimmondoor/placement/Sampling.h"

#include <chrono>
#include <cstdio>
#include <map>
#include <string_view>

namespace persimmondoor::placement {
namespace {

    constexpr uint32_t workersPerRack = 40;
    constexpr int64_t gigabyte = 1'000'000'000;
    constexpr int64_t coresPerWorker = 64;
    constexpr int64_t gigabytesPerWorker = 250;
    /// Number of placements between two refreshes of the domains' digests.
    constexpr size_t digestPeriod = 500;
    constexpr double churnLoad = 0.85;
    constexpr size_t churnArrivals = 4'000;
    constexpr uint32_t fullView = 0;
    constexpr uint32_t adapted = UINT32_MAX;

    // Upper bits of a linear congruential generator with the constants of MMIX (Knuth).
    class Sequence {
    public:
        explicit Sequence(uint64_t seed)
            : state_(seed)
        {
        }
        uint64_t below(uint64_t bound)
        {
            state_ = state_ * 6364136223846793005U + 1442695040888963407U;
            return (state_ >> 33U) % bound;
        }

    private:
        uint64_t state_;
    };

    struct Cell {
        std::vector<Offer> offers_;
        std::map<WorkerName, size_t> indexOf_;
        std::vector<DomainWorkers> domains_;
    };

    struct Figures {
        uint32_t workers_ { 0 };
        uint32_t sample_ { fullView };
        double decisionsPerSecond_ { 0 };
        double probesPerDecision_ { 0 };
        /// Share of the cell's processors in use after requests for all of its processors in total.
        double filled_ { 0 };
        /// Share of arrivals during churn that the first sample did not place although a worker had enough free resources.
        double missedOnce_ { 0 };
        /// Share of arrivals during churn that three samples did not place although a worker had enough free resources.
        double missedThrice_ { 0 };
        /// Share of arrivals during churn that need no accelerator but were placed on a worker with free ones.
        double blockedAccelerators_ { 0 };
    };

    Cell makeCell(uint32_t workers, uint32_t domains)
    {
        Cell cell;
        cell.domains_.resize(domains);
        for (uint32_t index = 0; index < workers; ++index) {
            uint32_t domain = index % domains;
            Offer offer;
            offer.worker_ = WorkerName::of(concat("worker-", index));
            offer.domain_ = FailureDomainName::of(concat("domain-", domain));
            offer.rack_ = RackName::of(concat("rack-", domain, "-", index / domains / workersPerRack));
            offer.capacity_ = *Resources::create(coresPerWorker * 1'000, gigabytesPerWorker * gigabyte, index % 8 == 0 ? 8 : 0);
            offer.free_ = offer.capacity_;
            offer.accepting_ = true;
            cell.indexOf_.emplace(offer.worker_, index);
            cell.domains_[domain].domain_ = offer.domain_;
            cell.domains_[domain].workers_.push_back(offer.worker_);
            cell.offers_.push_back(std::move(offer));
        }
        return cell;
    }

    void refreshDigests(Cell& cell)
    {
        for (DomainWorkers& domain : cell.domains_) {
            std::vector<Offer> offers;
            for (const WorkerName& worker : domain.workers_)
                offers.push_back(cell.offers_[cell.indexOf_.at(worker)]);
            domain.digest_ = DomainDigest::create(offers);
        }
    }

    // Requests half a core to half a worker; one task in ten needs an accelerator.
    PlacementRequest makeRequest(Sequence& sequence, uint64_t number)
    {
        PlacementRequest request;
        request.task_ = TaskId::of(concat("task-", number));
        request.team_ = TeamName::of("team");
        request.seed_ = number;
        int64_t milliCores = int64_t { 500 } << sequence.below(7);
        auto gigabytes = static_cast<int64_t>(1 + sequence.below(static_cast<uint64_t>(milliCores) / 125));
        request.resources_ = *Resources::create(milliCores, gigabytes * gigabyte, sequence.below(10) == 0 ? 1 : 0);
        return request;
    }

    class Run {
    public:
        Run(uint32_t workers, uint32_t domains, uint32_t sample)
            : cell_(makeCell(workers, domains))
            , sequence_(workers)
        {
            figures_.workers_ = workers;
            figures_.sample_ = sample;
            refreshDigests(cell_);
        }

        Figures measure()
        {
            fill();
            churn();
            figures_.decisionsPerSecond_ = static_cast<double>(decisions_) / std::chrono::duration<double>(deciding_).count();
            figures_.probesPerDecision_ = static_cast<double>(probes_) / static_cast<double>(decisions_);
            return figures_;
        }

    private:
        PlacementChoice choose(const PlacementRequest& request)
        {
            if (decisions_ % digestPeriod == 0)
                refreshDigests(cell_);
            ++decisions_;
            auto began = std::chrono::steady_clock::now();
            PlacementChoice choice = figures_.sample_ == fullView ? choosePlacement(request, cell_.offers_) : chooseFromSample(request);
            deciding_ += std::chrono::steady_clock::now() - began;
            return choice;
        }

        PlacementChoice chooseFromSample(const PlacementRequest& request)
        {
            std::vector<Offer> offers;
            uint32_t size = figures_.sample_ == adapted ? adaptSampleSize(request, cell_.domains_) : figures_.sample_;
            probes_ += size;
            for (const DomainSample& sample : planSample(request, size, cell_.domains_)) {
                for (const WorkerName& worker : sample.workers_)
                    offers.push_back(cell_.offers_[cell_.indexOf_.at(worker)]);
            }
            return choosePlacement(request, offers);
        }

        bool tryPlace(const PlacementRequest& request)
        {
            PlacementChoice choice = choose(request);
            const auto* placed = std::get_if<Placed>(&choice);
            if (!placed)
                return false;
            size_t worker = cell_.indexOf_.at(placed->site_.worker_);
            Offer& offer = cell_.offers_[worker];
            if (request.resources_.accelerators() == 0 && offer.free_.accelerators() > 0)
                ++blocked_;
            offer.free_ = offer.free_ - request.resources_;
            running_.emplace_back(worker, request.resources_);
            usedMilliCores_ += request.resources_.milliCores();
            return true;
        }

        void stopRandom()
        {
            size_t index = sequence_.below(running_.size());
            auto [worker, resources] = running_[index];
            running_[index] = running_.back();
            running_.pop_back();
            Offer& offer = cell_.offers_[worker];
            offer.free_ = offer.free_ + resources;
            usedMilliCores_ -= resources.milliCores();
        }

        double used() const
        {
            return static_cast<double>(usedMilliCores_) / (static_cast<double>(figures_.workers_) * coresPerWorker * 1'000);
        }

        void fill()
        {
            int64_t asked = 0;
            while (asked < static_cast<int64_t>(figures_.workers_) * coresPerWorker * 1'000) {
                PlacementRequest request = makeRequest(sequence_, ++number_);
                asked += request.resources_.milliCores();
                tryPlace(request);
            }
            figures_.filled_ = used();
        }

        bool fitsAnywhere(const PlacementRequest& request) const
        {
            for (const Offer& offer : cell_.offers_) {
                if (request.resources_.fitsIn(offer.free_))
                    return true;
            }
            return false;
        }

        void churn()
        {
            size_t missedOnce = 0;
            size_t missedThrice = 0;
            blocked_ = 0;
            for (size_t arrival = 0; arrival < churnArrivals; ++arrival) {
                while (used() > churnLoad)
                    stopRandom();
                PlacementRequest request = makeRequest(sequence_, ++number_);
                if (tryPlace(request) || !fitsAnywhere(request))
                    continue;
                ++missedOnce;
                request.seed_ += uint64_t { 1 } << 40U;
                if (tryPlace(request))
                    continue;
                request.seed_ += uint64_t { 1 } << 40U;
                if (!tryPlace(request))
                    ++missedThrice;
            }
            auto share = [](size_t count) { return static_cast<double>(count) / churnArrivals; };
            figures_.missedOnce_ = share(missedOnce);
            figures_.missedThrice_ = share(missedThrice);
            figures_.blockedAccelerators_ = share(blocked_);
        }

        Cell cell_;
        Sequence sequence_;
        Figures figures_;
        std::vector<std::pair<size_t, Resources>> running_;
        int64_t usedMilliCores_ { 0 };
        uint64_t number_ { 0 };
        size_t decisions_ { 0 };
        size_t blocked_ { 0 };
        size_t probes_ { 0 };
        std::chrono::steady_clock::duration deciding_ {};
    };

    void print(const std::vector<Figures>& all, bool json)
    {
        if (!json)
            std::printf("%8s %8s %9s %12s %9s %13s %13s %10s\n", "workers", "sample", "probes/d", "decisions/s", "filled %", "missed once %", "missed 3 x %", "blocked %");
        for (const Figures& each : all) {
            std::string sample = each.sample_ == fullView ? "all" : std::to_string(each.sample_);
            if (each.sample_ == adapted)
                sample = "adapted";
            if (json)
                std::printf("{\"workers\":%u,\"sample\":\"%s\",\"probes_per_decision\":%.1f,\"decisions_per_second\":%.0f,\"filled\":%.4f,\"missed_once\":%.4f,\"missed_thrice\":%.4f,\"blocked_accelerators\":%.4f}\n",
                    each.workers_, sample.c_str(), each.probesPerDecision_, each.decisionsPerSecond_, each.filled_, each.missedOnce_, each.missedThrice_, each.blockedAccelerators_);
            else
                std::printf("%8u %8s %9.1f %12.0f %9.1f %13.2f %13.2f %10.2f\n", each.workers_, sample.c_str(), each.probesPerDecision_, each.decisionsPerSecond_, each.filled_ * 100,
                    each.missedOnce_ * 100, each.missedThrice_ * 100, each.blockedAccelerators_ * 100);
        }
    }

} // namespace
} // namespace persimmondoor::placement

int main(int argumentCount, char** arguments)
{
    using namespace persimmondoor::placement;
    bool json = argumentCount > 1 && std::string_view(arguments[1]) == "--json";
    struct Size {
        uint32_t workers_;
        uint32_t domains_;
    };
    std::vector<Figures> all;
    for (Size size : { Size { 100, 4 }, Size { 1'000, 8 }, Size { 6'300, 15 } }) {
        for (uint32_t sample : { fullView, 4U, defaultSampleSize, 24U, adapted })
            all.push_back(Run(size.workers_, size.domains_, sample).measure());
    }
    print(all, json);
    return 0;
}
