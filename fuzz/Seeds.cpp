// Writes the seeds of the target `queues` with the project's encoders. Usage: fuzz_seeds FOLDER
#include "scheduler/src/LeaderRow.h"
#include "scheduler/src/LeaseRows.h"
#include "workflow/src/ExchangeCodec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <fstream>

using namespace persimmondoor;
using namespace persimmondoor::workflow;

static void write(const std::string& path, char choice, std::string_view bytes)
{
    std::ofstream file(path, std::ios::binary);
    file << choice << bytes;
}

template <typename Message, typename Value>
static void writeMessage(const std::string& path, char choice, const Value& value)
{
    capnp::MallocMessageBuilder builder;
    encode(value, builder.initRoot<Message>());
    auto words = capnp::messageToFlatArray(builder);
    auto bytes = words.asBytes();
    write(path, choice, { reinterpret_cast<const char*>(bytes.begin()), bytes.size() });
}

static JobSpec makeSpec()
{
    Step step;
    step.count_ = 3;
    step.demand_ = *Resources::create(960, 1'900'000'000, 1);
    step.estimate_ = std::chrono::milliseconds(800);
    step.isFilling_ = true;
    step.image_ = "encoder";
    Step last = step;
    last.dependencies_ = { 0 };
    last.longRunning_ = true;
    return *JobSpec::create("payload", { step, last }, { 2, 5000, 100 });
}

int main(int argc, char** argv)
{
    if (argc != 2)
        return 2;
    std::string folder = std::string(argv[1]) + "/";
    JobId job = JobId::of("00000000000000aa");
    RunKey run { { job, 0, 1, 2 }, 3 };
    WorkerIncarnation worker { "w-1", 99, "host-1" };
    write(folder + "record", 0, encodeRecord({ job, { "tests", "h.example", "/tests/", "packs", 2, 4, 1.5, std::chrono::milliseconds(250), std::chrono::seconds(3) }, 1234, makeSpec() }));
    write(folder + "progress", 1, encodeProgress({ false, true, true, { { TaskPhase::Assigned, 3, 1, worker, "ck", 2 }, { TaskPhase::Done, 1, 0, {}, "" } } }));
    Interference estimates;
    estimates.sensitivities_["search"] = { 4, { { "heavy", 0.9 }, { "light", 0.05 } }, { 0.01, 0, 0, 0.02 } };
    write(folder + "interference", 2, encodeInterference(estimates));
    write(folder + "chain", 3, scheduler::encodeChain({ LeaderEpoch(7), 12, 58450 }));
    write(folder + "silent-workers", 3, scheduler::encodeSilentWorkers({ { { { "w-1", 1733308107000, "host-4" }, 51000 } } }));
    write(folder + "claim", 3, scheduler::encodeClaim({ LeaderEpoch(4), *Address::parse("127.0.0.1:80"), 17 }));
    WorkerReport lists { worker, { "packs", "north", { "a", "r1" }, *Resources::create(4000, 1'000'000, 0) }, false, 0, true, true, 7, { { run, "ck", 40, 900, 100 } }, { { 1, run, RunEnd::Failed, "ck" } }, {} };
    AgentReport report { "agent-1", "north", 7, LeaderEpoch(4), Fence(5), Sequence(6), OrderNumber(7), { lists }, { worker }, true, { run } };
    writeMessage<wire::Report>(folder + "report", 4, report);
    ReportReply reply { LeaderEpoch(4), Fence(5), Sequence(6), std::chrono::seconds(7), { StopRun { OrderNumber(1), worker, run } }, { { worker, 9 } }, {}, estimates };
    writeMessage<wire::Directive>(folder + "directive", 5, reply);
    writeMessage<wire::ClientCall>(folder + "call", 6, ClientCall { "h.example", "/tests/00000000000000aa", Submit { makeSpec() }, std::chrono::seconds(3) });
    writeMessage<wire::ClientAnswer>(folder + "answer", 7, ClientAnswer(NotAccepted { "reason", std::chrono::seconds(1) }));
    writeMessage<wire::Leader>(folder + "leader", 8, LeaderView { LeaderEpoch(4), *Address::parse("127.0.0.1:80"), true, std::chrono::seconds(1), std::chrono::seconds(2) });
    return 0;
}
