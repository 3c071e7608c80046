#include "Rows.h"

#include "persimmondoor/core/Text.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace persimmondoor::burn {

namespace json = boost::json;

std::string rowPrefixOf(const ProcessName& entry)
{
    return concat(rowPrefix, entry.value(), "/");
}

std::string rowKey(const ProcessName& entry, Minute now)
{
    return concat(rowPrefixOf(entry), now.value() / minutesPerHalfHour % halfHoursKept);
}

// Returns [minute, total, good] for each minute of the half hour.
static json::array encodeMinutes(const Counts& counts, uint64_t halfHour)
{
    json::array list;
    for (const auto& [minute, count] : counts.minutes()) {
        if (minute.value() / minutesPerHalfHour != halfHour)
            continue;
        json::array item;
        item.emplace_back(minute.value());
        item.emplace_back(count.total_);
        item.emplace_back(count.good_);
        list.push_back(std::move(item));
    }
    return list;
}

std::string encodeRow(const Levels& levels, Minute now)
{
    json::object services;
    for (const auto& [service, counts] : levels.counts()) {
        json::array minutes = encodeMinutes(counts, now.value() / minutesPerHalfHour);
        if (!minutes.empty())
            services[service.value()] = std::move(minutes);
    }
    json::object row;
    row["saved_at"] = now.value();
    row["services"] = std::move(services);
    return json::serialize(row);
}

static uint64_t numberOf(const json::value& value)
{
    boost::system::error_code error;
    uint64_t number = value.to_number<uint64_t>(error);
    return error ? 0 : number;
}

static void decodeMinutes(const ServiceName& service, const json::value& minutes, std::vector<Restored>& counts)
{
    if (!minutes.is_array())
        return;
    for (const json::value& item : minutes.get_array()) {
        if (!item.is_array() || item.get_array().size() != 3)
            continue;
        const json::array& figures = item.get_array();
        Count count { numberOf(figures[1]), numberOf(figures[2]) };
        if (count.good_ <= count.total_)
            counts.push_back({ service, Minute(numberOf(figures[0])), count });
    }
}

SavedRow decodeRow(const store::Row& row)
{
    SavedRow saved;
    boost::system::error_code error;
    json::value value = json::parse(row.value_, error);
    if (error || !value.is_object())
        return saved;
    const json::object& object = value.get_object();
    if (const json::value* savedAt = object.if_contains("saved_at"))
        saved.savedAt_ = Minute(numberOf(*savedAt));
    const json::value* services = object.if_contains("services");
    if (!services || !services->is_object())
        return saved;
    for (const auto& item : services->get_object()) {
        auto service = ServiceName::create(std::string(item.key()));
        if (service.ok())
            decodeMinutes(*service, item.value(), saved.counts_);
    }
    return saved;
}

} // namespace persimmondoor::burn
