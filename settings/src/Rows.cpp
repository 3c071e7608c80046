#include "Rows.h"

#include "persimmondoor/core/Text.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace persimmondoor::settings {

namespace json = boost::json;

// Revisions are zero-padded to this number of digits in a key, so that keys sort by revision.
static constexpr size_t revisionDigits = 12;

std::string headKey(const SubtreeName& name)
{
    return concat(headPrefix, name.value());
}

std::string historyPrefix(const SubtreeName& name)
{
    return concat("settings-history/", name.value(), "/");
}

std::string historyKey(const SubtreeName& name, Revision revision)
{
    std::string number = concat(revision.value());
    return concat(historyPrefix(name), std::string(revisionDigits - std::min(revisionDigits, number.size()), '0'), number);
}

static json::object headOf(const Subtree& subtree)
{
    json::object head;
    head["revision"] = subtree.revision_.value();
    head["write_id"] = subtree.writeId_.value();
    head["operator"] = subtree.operator_.value();
    head["accepted_ms"] = subtree.acceptedMilliseconds_;
    return head;
}

std::string encodeHead(const Subtree& subtree)
{
    return json::serialize(headOf(subtree));
}

std::string encodeRevision(const Subtree& subtree)
{
    json::object row = headOf(subtree);
    row["text"] = subtree.text_;
    return json::serialize(row);
}

static std::string textOf(const json::object& object, std::string_view name)
{
    const json::value* found = object.if_contains(name);
    return found && found->is_string() ? std::string(found->get_string()) : "";
}

static int64_t numberOf(const json::object& object, std::string_view name)
{
    const json::value* found = object.if_contains(name);
    boost::system::error_code error;
    return found ? found->to_number<int64_t>(error) : 0;
}

absl::StatusOr<Subtree> decodeRow(const SubtreeName& name, const store::Row& row)
{
    boost::system::error_code error;
    json::value value = json::parse(row.value_, error);
    if (error || !value.is_object())
        return absl::DataLossError(concat("row ", row.key_, " is malformed: its value is not a JSON object"));
    const json::object& object = value.get_object();
    auto writeId = WriteId::create(textOf(object, "write_id"));
    auto operatorName = OperatorName::create(textOf(object, "operator"));
    int64_t revision = numberOf(object, "revision");
    if (!writeId.ok() || !operatorName.ok() || revision < 1)
        return absl::DataLossError(concat("row ", row.key_, " is malformed: expected a valid write_id, a valid operator and a revision of at least 1"));
    return Subtree { name, Revision(static_cast<uint64_t>(revision)), textOf(object, "text"), *writeId, *operatorName, numberOf(object, "accepted_ms") };
}

} // namespace persimmondoor::settings
