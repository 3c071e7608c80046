// Fuzz target of the readers of settings: the first byte chooses the reader, the rest is the text that it reads.
#include "Rows.h"
#include "persimmondoor/settings/Site.h"
#include "persimmondoor/settings/Subtrees.h"

using namespace persimmondoor;
using namespace persimmondoor::settings;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) // NOLINT(readability-identifier-naming)
{
    if (size == 0)
        return 0;
    std::string_view text(reinterpret_cast<const char*>(data + 1), size - 1);
    static const SubtreeName team = SubtreeName::of("team");
    switch (data[0] % 5) {
    case 0:
        (void)parseSite(text);
        break;
    case 1:
        (void)checkSubtree(team, text);
        break;
    case 2:
        (void)parseOperators(text);
        break;
    case 3:
        (void)compareSubtrees(text.substr(0, text.size() / 2), text.substr(text.size() / 2));
        break;
    default:
        (void)decodeRow(team, store::Row { "settings/team", std::string(text), store::RowVersion(1) });
    }
    return 0;
}
