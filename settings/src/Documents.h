// Encodes the JSON bodies of the operators' API for settings.
#pragma once

#include "persimmondoor/settings/SettingsActor.h"
#include "persimmondoor/settings/Subtrees.h"

namespace persimmondoor::settings {

std::string subtreeDocument(const Subtree&);
std::string subtreesDocument(const Snapshot&);
std::string acceptedDocument(const WriteAccepted&);
std::string historyDocument(const std::vector<Subtree>&);
std::string differencesDocument(const std::vector<Difference>&);
std::string statusDocument(const ProcessName& self, const Snapshot&);
std::string teamsDocument(const Tree&);
std::string quotasDocument(const Tree&);

} // namespace persimmondoor::settings
