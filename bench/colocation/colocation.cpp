/// Compares the four policies by the users' four measures on the same seeded traces.
///
///   bench_colocation [--json] [--sensitivity] [--seeds N] [--seconds N] [--user NAME] [--trace NAME] [--svg FILE] [--check]
///
/// --check runs a small fixed set and fails if the learned policy misses the goal; --user and --trace restrict it to
/// one user and one trace.
#include "Driver.h"
#include "Plot.h"

#include <cstdio>
#include <cstring>
#include <string>

namespace persimmondoor::colocation {
namespace {

    // The goal: tail latency within 10% of no colocation, at least 90% of the throughput without control, and fewer
    // evictions than the fixed threshold.
    constexpr double tailBound = 1.10;
    constexpr double throughputBound = 0.90;
    constexpr int checkSeconds = 3600;

    struct Options {
        bool json_ { false };
        bool sensitivity_ { false };
        bool check_ { false };
        uint64_t seeds_ { 3 };
        int seconds_ { 7200 };
        std::string plot_;
        /// Selects one user or trace; all if empty.
        std::string user_;
        std::string trace_;
    };

    /// Means over the seeds.
    struct Row {
        std::string user_;
        TraceKind trace_ { TraceKind::Steady };
        PolicyKind policy_ { PolicyKind::None };
        double tailRatio_ { 0 };
        double worstTailRatio_ { 0 };
        double p999Ratio_ { 0 };
        double throughputRatio_ { 0 };
        double evictions_ { 0 };
        double outageWorkRatio_ { 0 };
        double throttles_ { 0 };
        /// Throughput of a policy that knows the ground truth and keeps the tail bound in every second; minimum over
        /// the seeds.
        double upperBoundRatio_ { 1 };
    };

    std::vector<Row> measure(const User& user, TraceKind kind, const Options& options, int lagSeconds, double noise)
    {
        std::vector<Row> rows;
        rows.reserve(allPolicies.size());
        for (PolicyKind policy : allPolicies)
            rows.push_back({ user.name_, kind, policy });
        for (uint64_t seed = 1; seed <= options.seeds_; ++seed) {
            Trace trace = makeTrace(kind, user, seed, options.seconds_);
            std::vector<RunResult> results;
            results.reserve(allPolicies.size());
            for (PolicyKind policy : allPolicies)
                results.push_back(run(trace, user, { policy, lagSeconds, noise }));
            const RunResult& noColocation = results[static_cast<size_t>(PolicyKind::None)];
            const RunResult& uncontrolled = results[static_cast<size_t>(PolicyKind::Uncontrolled)];
            double upperBound = workUpperBound(trace, user, tailBound) / uncontrolled.work_;
            double seeds = static_cast<double>(options.seeds_);
            for (size_t index = 0; index < rows.size(); ++index) {
                const RunResult& each = results[index];
                rows[index].tailRatio_ += each.p99_ / noColocation.p99_ / seeds;
                rows[index].worstTailRatio_ = std::max(rows[index].worstTailRatio_, each.p99_ / noColocation.p99_);
                rows[index].p999Ratio_ += each.p999_ / noColocation.p999_ / seeds;
                rows[index].throughputRatio_ += each.work_ / uncontrolled.work_ / seeds;
                rows[index].evictions_ += each.evictions_ / seeds;
                rows[index].outageWorkRatio_ += uncontrolled.workAroundOutage_ > 0 ? each.workAroundOutage_ / uncontrolled.workAroundOutage_ / seeds : 0;
                rows[index].upperBoundRatio_ = std::min(rows[index].upperBoundRatio_, upperBound);
                rows[index].throttles_ += each.throttles_ / seeds;
            }
        }
        return rows;
    }

    std::string goalOf(const std::vector<Row>& rows, const Row& row)
    {
        if (row.policy_ != PolicyKind::Learned)
            return "";
        const Row& fixed = rows[static_cast<size_t>(PolicyKind::Fixed)];
        std::string missed;
        if (row.worstTailRatio_ > tailBound)
            missed += " tail";
        if (row.throughputRatio_ < throughputBound)
            missed += " throughput";
        if (row.evictions_ >= fixed.evictions_)
            missed += " evictions";
        return missed.empty() ? "met" : "missed:" + missed;
    }

    void print(const std::vector<Row>& rows, const Options& options, int lagSeconds, double noise)
    {
        for (const Row& row : rows) {
            std::string goal = goalOf(rows, row);
            if (options.json_)
                std::printf("{\"user\":\"%s\",\"trace\":\"%s\",\"policy\":\"%s\",\"lag_s\":%d,\"noise\":%.2f,\"tail\":%.4f,\"tail_worst_seed\":%.4f,\"tail_p999\":%.4f,"
                            "\"throughput\":%.4f,\"evictions\":%.1f,\"outage_work\":%.4f,\"throttles\":%.0f,\"possible_throughput\":%.4f,\"goal\":\"%s\"}\n",
                    row.user_.c_str(), describe(row.trace_), describe(row.policy_), lagSeconds, noise, row.tailRatio_, row.worstTailRatio_, row.p999Ratio_, row.throughputRatio_,
                    row.evictions_, row.outageWorkRatio_, row.throttles_, row.upperBoundRatio_, goal.c_str());
            else
                std::printf("| %-9s | %-19s | %-15s | %3d | %4.2f | %5.3f | %5.3f | %6.3f | %10.3f | %9.1f | %6.3f | %9.0f | %8.3f | %s |\n", row.user_.c_str(), describe(row.trace_),
                    describe(row.policy_), lagSeconds, noise, row.tailRatio_, row.worstTailRatio_, row.p999Ratio_, row.throughputRatio_, row.evictions_, row.outageWorkRatio_,
                    row.throttles_, row.upperBoundRatio_, goal.c_str());
        }
        std::fflush(stdout);
    }

    void printHeader(const Options& options)
    {
        if (options.json_)
            return;
        std::puts("| user      | trace               | policy          | lag | nois | tail  | worst | p99.9  | throughput | evictions | outage | throttles | possible | goal |");
        std::puts("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    }

    Options parse(int argumentCount, char** arguments)
    {
        Options options;
        for (int index = 1; index < argumentCount; ++index) {
            std::string argument = arguments[index];
            std::string value = index + 1 < argumentCount ? arguments[index + 1] : "";
            if (argument == "--json")
                options.json_ = true;
            else if (argument == "--sensitivity")
                options.sensitivity_ = true;
            else if (argument == "--check")
                options.check_ = true;
            else if (argument == "--seeds")
                options.seeds_ = std::stoul(value);
            else if (argument == "--seconds")
                options.seconds_ = std::stoi(value);
            else if (argument == "--user")
                options.user_ = value;
            else if (argument == "--trace")
                options.trace_ = value;
            else if (argument == "--svg")
                options.plot_ = value;
        }
        return options;
    }

    // Prints the tables and returns the number of rows that miss the goal.
    int runAll(const Options& options)
    {
        struct Condition {
            int lagSeconds_;
            double noise_;
        };
        std::vector<Condition> conditions { { 5, 0.1 } };
        if (options.sensitivity_)
            conditions = { { 1, 0.1 }, { 5, 0.1 }, { 15, 0.1 }, { 5, 0.0 }, { 5, 0.3 } };
        int missed = 0;
        int selectedTraces = 0;
        std::vector<PlotPoint> points;
        printHeader(options);
        for (const User& user : { lankacell(), sorteos() }) {
            for (TraceKind kind : allTraces) {
                if ((!options.user_.empty() && options.user_ != user.name_) || (!options.trace_.empty() && options.trace_ != describe(kind)))
                    continue;
                ++selectedTraces;
                for (Condition condition : conditions) {
                    std::vector<Row> rows = measure(user, kind, options, condition.lagSeconds_, condition.noise_);
                    print(rows, options, condition.lagSeconds_, condition.noise_);
                    for (const Row& row : rows) {
                        missed += goalOf(rows, row).starts_with("missed") ? 1 : 0;
                        points.push_back({ describe(row.policy_), row.throughputRatio_, row.tailRatio_ });
                    }
                }
            }
        }
        if (selectedTraces == 0) {
            std::puts("no trace matches --user and --trace");
            return 1;
        }
        if (!options.plot_.empty())
            writePlot(options.plot_, points, throughputBound, tailBound);
        return missed;
    }

} // namespace
} // namespace persimmondoor::colocation

int main(int argumentCount, char** arguments)
{
    using namespace persimmondoor::colocation;
    Options options = parse(argumentCount, arguments);
    if (options.check_) {
        options.seeds_ = 1;
        options.seconds_ = checkSeconds;
    }
    int missed = runAll(options);
    if (options.check_ && missed > 0)
        std::printf("%d traces miss the goal\n", missed);
    return options.check_ && missed > 0 ? 1 : 0;
}
