// The choice between near and far places within one round of placement: forecasts of the racks that tasks ask for, and the waits
// that begin and end.
//
//     NearPlaceRound nearPlaces(context);
//     if (nearPlaces.mustWait(job, key, worker))
//         return; // the task is not started on the worker
#pragma once

#include "RackForecast.h"

namespace persimmondoor::workflow {

// Where to place a gang.
struct GangPlace {
    // The gang waits for a rack with room for all members.
    bool mustWait_ { false };
    // The racks that are expected to have room for all members, the one of their data first.
    std::vector<std::string> racks_;
    auto operator<=>(const GangPlace&) const = default;
};

class NearPlaceRound {
public:
    explicit NearPlaceRound(const DecisionContext&);

    // True if the task waits for a near place already, none has opened, and the wait still pays. No search is needed then.
    bool keepsWaiting(const Job&, const TaskKey&);
    // Decides whether the task is started on the worker, the best of those that can take it now.
    // \return true if it waits for a worker on the rack of its data instead.
    bool mustWait(const Job&, const TaskKey&, const WorkerIncarnation& chosen);
    // Chooses a rack for a gang that has to be on one.
    // \param first first member, which stands for the gang.
    GangPlace placeOfGang(const Job&, const TaskKey& first);
    // Takes the room of a task that was assigned to the worker from the forecasts.
    void noteStart(const Job&, const TaskKey&, const WorkerIncarnation&);
    // The same for all members of a gang, whose wait ends.
    void noteGangStart(const Job&, const TaskKey& first, bool isNear);
    // Ends the waits of tasks that no longer wait for a worker. To be called at the end of the round.
    void endObsoleteWaits();

private:
    RackForecast& forecastOf(const std::string& service, const std::string& rack);
    // All workers of the service, whether they accept runs or not.
    const std::vector<const Worker*>& workersOf(const std::string& service);
    // Racks of the workers of the service that accept runs.
    const std::set<std::string>& racksOf(const std::string& service);
    // False if the workers have no room for all members of the gang now, on however many racks.
    bool mayFitNow(const std::string& service, const Step&);
    // Since when nothing of the job has run; empty while a run of it may be at work or is about to start.
    std::optional<Instant> standsStillSince(const Job&);
    // \param wait of the task; null if it does not wait.
    PlaceOptions optionsOf(const Job&, const TaskKey&, const NearWait* wait);
    // The task's wait; null if it does not wait.
    NearWait* findWait(const TaskKey&);
    // Begins or continues the wait, if the decision is to wait.
    // \return true if the task waits.
    bool applyDecision(const PlaceDecision&, const PlaceOptions&, const TaskKey&, const std::string& rack, const std::string& detail);
    void beginWait(const PlaceOptions&, const TaskKey&, const std::string& rack, Instant until, const std::string& detail);
    void endWait(const TaskKey&, bool isWon, std::string_view why);
    void logLine(const char* event, const TaskKey&, const std::string& detail);

    const DecisionContext& context_;
    NearPlaces& places_;
    // By service and rack.
    std::map<std::string, std::map<std::string, RackForecast>> forecasts_;
    std::map<std::string, std::set<std::string>> racksByService_;
    std::map<std::string, std::vector<const Worker*>> workersByService_;
    // The last job with a run at work, as the tasks of a job are visited in series.
    std::optional<JobId> jobAtWork_;
    // What the tasks of the last step have in common, by the step's first task.
    std::optional<std::pair<TaskKey, PlaceOptions>> stepOptions_;
};

} // namespace persimmondoor::workflow
