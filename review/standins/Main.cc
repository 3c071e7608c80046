#include "Cases.h"
#include "World.h"

#include <cstdlib>
#include <iostream>
#include <map>

// Usage, in the root of the repository: case NAME FOLDER. With TROUBLE=0 in the environment, without the disruption.
// Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
int main(int argc, char** argv)
{
    using namespace persimmondoor::review;
    const std::map<std::string, bool (*)(const std::string&, bool)> cases { { "away", runAwayCase }, { "gang", runGangCase }, { "leave", runLeaveCase }, { "noted", runNotedCase }, { "deadly", runDeadlyCase } };
    auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: case NAME FOLDER\n";
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    try {
        bool isBroken = found->second(argv[2], !trouble || std::string(trouble) != "0");
        std::cout << (isBroken ? "broken" : "held") << "\n";
        return isBroken ? 1 : 0;
    } catch (const std::exception& error) {
        std::cerr << "cannot run: " << error.what() << "\n";
        return 2;
    }
}
