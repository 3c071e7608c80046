// Fixture for tests of filling tasks beside long-running tasks.
#pragma once

#include "LeaderWorld.h"

namespace persimmondoor::workflow {

inline Step longRunningStep(const std::string& image)
{
    Step step = stepOfTasks(1);
    step.longRunning_ = true;
    step.image_ = image;
    step.targetTailMs_ = 18;
    return step;
}

inline Step fillingStep(uint32_t count, const std::string& image)
{
    Step step = stepOfTasks(count);
    step.isFilling_ = true;
    step.savesProgress_ = true;
    step.image_ = image;
    return step;
}

inline RunKey runOf(const std::string& job, uint32_t index = 0, uint32_t run = 1)
{
    return { { JobId::of(job), 0, 0, index }, run };
}

inline const std::string searchJob = "00000000000000aa";
inline const std::string rankingJob = "00000000000000bb";
inline const std::string fillingJob = "00000000000000cc";

// Two workers, one with a long-running task of image "search" and one with "ranking"; the filling image "heavy" is known
// to disturb "search" only.
class FillingWorld : public LeaderWorld {
public:
    FillingWorld()
    {
        report("w-1", 10);
        report("w-2", 10);
        submit({ longRunningStep("search") }, 20, searchJob);
        submit({ longRunningStep("ranking") }, 21, rankingJob);
        commit(30);
        bool searchIsFirst = starts("w-1", 31).front().task_.job_.value() == searchJob;
        search_ = searchIsFirst ? "w-1" : "w-2";
        ranking_ = searchIsFirst ? "w-2" : "w-1";
        starts("w-2", 31);
        lastCompletedOrder_ = OrderNumber(1);
        state_.interference_.sensitivities_["search"] = { 4, { { "heavy", 0.9 } }, {} };
        state_.interference_.sensitivities_["ranking"] = { 4, { { "heavy", 0.02 } }, {} };
        reportReadings(100, {}, {});
    }

    // Reports both workers with a new reading of their long-running tasks and with the given filling runs.
    void reportReadings(int64_t milliseconds, std::vector<ActiveRun> besideSearch, std::vector<ActiveRun> besideRanking)
    {
        besideSearch.push_back({ runOf(searchJob), "", 100, tailMs_, 0 });
        besideSearch.insert(besideSearch.end(), unreadBesideSearch_.begin(), unreadBesideSearch_.end());
        besideRanking.push_back({ runOf(rankingJob), "", 100, tailMs_, 0 });
        readingNumber_ = static_cast<uint64_t>(milliseconds);
        report(search_, milliseconds, std::move(besideSearch), ended_[search_]);
        report(ranking_, milliseconds, std::move(besideRanking), ended_[ranking_]);
    }

    uint32_t tailMs_ { 8 };
    // Further runs on the worker of "search", without a reading.
    std::vector<ActiveRun> unreadBesideSearch_;
    // Ends that the next reports list, by worker.
    std::map<std::string, std::vector<EndedRun>> ended_;
    std::string search_;
    std::string ranking_;
};

} // namespace persimmondoor::workflow
