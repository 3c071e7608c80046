#include "Ctl.h"

#include "persimmondoor/core/Text.h"

#include <absl/strings/str_join.h>

namespace persimmondoor::app::ctl {

namespace asio = boost::asio;

static std::string casesOf(const Verb& verb)
{
    std::vector<std::string> words = verb.subverbs_;
    for (const Flag& flag : verb.flags_)
        words.push_back("--" + flag.name_);
    return concat("    ", verb.name_, ") words=\"", absl::StrJoin(words, " "), "\" ;;\n");
}

static std::string bashScript()
{
    std::vector<std::string> names;
    std::string cases;
    for (const Verb& verb : verbs()) {
        names.push_back(verb.name_);
        cases += casesOf(verb);
    }
    return concat("_persimmondoor() {\n"
                  "  local current=${COMP_WORDS[COMP_CWORD]} words\n"
                  "  if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
                  "    words=\"entry agent local ctl report\"\n"
                  "  elif [ \"${COMP_WORDS[1]}\" = report ]; then\n"
                  "    words=\"--format --json --output --jobs --job --help $(compgen -f -- \"$current\")\"\n"
                  "  elif [ \"${COMP_WORDS[1]}\" != ctl ]; then\n"
                  "    words=\"--settings --name --log-level --shutdown-limit-ms\"\n"
                  "  elif [ \"$COMP_CWORD\" -eq 2 ]; then\n"
                  "    words=\"help ",
        absl::StrJoin(names, " "), "\"\n  else\n    case ${COMP_WORDS[2]} in\n", cases, "    esac\n"
                                                                                        "    words=\"$words --entry --json --token --help\"\n"
                                                                                        "  fi\n"
                                                                                        "  COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
                                                                                        "}\n"
                                                                                        "complete -F _persimmondoor persimmondoor\n");
}

static int printScript(const Invocation& call)
{
    if (call.words_.size() != 1 || call.words_.front() != "bash")
        return failUsage("completion", "the shell must be bash");
    printText(bashScript());
    return Success;
}

static asio::awaitable<int> run(Invocation call)
{
    co_return printScript(call);
}

Verb makeCompletionVerb()
{
    return { "completion", "bash", "prints a shell completion script", { "bash" }, {}, run };
}

} // namespace persimmondoor::app::ctl
