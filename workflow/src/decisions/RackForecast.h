// When room on a rack is expected to become free, from the expected ends of the runs there and from the tasks that wait for it.
//
//     RackForecast forecast(state, "service", "r1", now);
//     std::optional<Instant> opensAt = forecast.opensAt(step, 1);
#pragma once

#include "LeaderRules.h"

namespace persimmondoor::workflow {

class RackForecast {
public:
    RackForecast(const LeaderState&, const std::string& service, const std::string& rack, Instant now);

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
    // When a room fits a task with these demands; empty if it never does.
    struct Opening {
        Resources demand_;
        std::string requiredLabel_;
        std::optional<Instant> at_;
    };
    struct Room {
        const Worker* worker_ { nullptr };
        Resources used_;
        // By time.
        std::vector<Release> releases_;
        // Members of the gang that is being fitted in.
        uint32_t members_ { 0 };
        // The last answer, as most tasks that wait for a rack have the same demand. To be reset when the room changes.
        std::optional<Opening> opening_;
    };

    void addRun(Room&, const Job&, const TaskKey&) const;
    static bool endsEarlier(const Release&, const Release&);
    static std::optional<Instant> findOpening(const Room&, const Step&, Instant now);
    static std::optional<Instant> opensAt(Room&, const Step&, Instant now);
    static std::optional<Instant> take(std::vector<Room>&, const Step&, Duration runTime, Instant now);

    const LeaderState& state_;
    Instant now_;
    std::vector<Room> rooms_;
};

// Name of the worker's rack; empty if it has announced none.
std::string_view rackOf(const Worker&);

} // namespace persimmondoor::workflow
