// Compiles the packaged source of easylogging++.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
