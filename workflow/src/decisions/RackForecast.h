// When room on a rack is expected to become free, from the expected ends of the runs there and from the tasks that wait for it.
//
//     RackForecast forecast(state, workersOfRack, now);
//     std::optional<Instant> opensAt = forecast.opensAt(step, 1);
#pragma once

#include "LeaderRules.h"

namespace persimmondoor::workflow {

class RackForecast {
public:
    // \param workers the workers of the rack that accept runs. They must outlive the forecast.
    RackForecast(const LeaderState&, const std::vector<const Worker*>& workers, Instant now);

    // When the rack has room for so many tasks of the step, which may be now; empty if it never has.
    std::optional<Instant> opensAt(const Step&, uint32_t count);
    // Takes the room of a task that has been assigned to the worker since the forecast was made.
    void addRun(const Worker&, const Job&, const TaskKey&);
    // Takes the room of so many tasks from when it becomes free. Does nothing if it never does.
    // \param runTime expected time of their runs.
    void reserve(const Step&, uint32_t count, Duration runTime);

private:
    struct Release {
        Instant at_;
        Resources demand_;
    };
    struct Room {
        const Worker* worker_ { nullptr };
        Resources used_;
        // By time.
        std::vector<Release> releases_;
        // Members of the gang that is being fitted in.
        uint32_t members_ { 0 };
        // When the room fits a task of the present demand, if that is known; empty within if it never does.
        std::optional<std::optional<Instant>> opensAt_;
    };

    void addRun(Room&, const Step&, const Task&, Duration runTime) const;
    Duration runTimeAt(const Worker&, const Step&) const;
    static bool endsEarlier(const Release&, const Release&);
    static std::optional<Instant> findOpening(const Room&, const Step&, Instant now);
    // Makes the answers of all rooms be about tasks of the step.
    void turnTo(const Step&);
    // To be called when the room changes.
    void forgetAnswer(Room&);
    // When the room fits a task of the present demand.
    std::optional<Instant> openingOf(Room&, const Step&) const;
    // Position of the room that opens first for a task of the step; the number of rooms if none does.
    size_t findFirst(const Step&);
    // Takes the room that opens first.
    // \return when it does; empty if none does.
    std::optional<Instant> take(const Step&, Duration runTime);

    const LeaderState& state_;
    Instant now_;
    std::vector<Room> rooms_;
    // Most tasks that wait for a rack have the same demand: the answers for the last one are kept until a room changes.
    Resources demand_;
    std::string requiredLabel_;
    std::optional<size_t> first_;
};

// Name of the worker's rack; empty if it has announced none.
std::string_view rackOf(const Worker&);

} // namespace persimmondoor::workflow
