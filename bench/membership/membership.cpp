// Measures the bytes on the wire, in both directions, of an announcement, of a keepalive and of each member of a snapshot.
//
//   bench_membership [--json]
#include "Membership.capnp.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/membership/ViewActor.h"
#include "persimmondoor/rpc/Call.h"
#include "persimmondoor/rpc/Link.h"
#include "persimmondoor/rpc/Loop.h"

#include <cstdio>
#include <cstring>

using namespace persimmondoor;
using namespace persimmondoor::membership;
namespace asio = boost::asio;

namespace {

constexpr int calls = 100;
constexpr unsigned snapshotWorkers = 1000;

void fill(wire::Announcement::Builder announcement, const std::string& worker, unsigned endpoints)
{
    announcement.setWorker(worker);
    announcement.setDomain("domain-a");
    announcement.setRack("rack-a1");
    announcement.setIncarnation(1'764'836'000'000);
    announcement.setSequence(86'400'000'000);
    announcement.setRpcAddress("10.12.34.56:7100");
    auto offers = announcement.initEndpoints(endpoints);
    for (unsigned index = 0; index < endpoints; ++index) {
        offers[index].setEndpoint("packs-" + std::to_string(1000 + index));
        offers[index].setService("packs");
        offers[index].setTeam("lankacell");
        offers[index].setSlots(8);
        offers[index].setConnections(64);
    }
}

asio::awaitable<void> announce(rpc::Link link, std::string worker, unsigned endpoints)
{
    auto found = co_await link.find("membership");
    auto request = found->castAs<wire::Membership>().announceRequest();
    fill(request.initAnnouncement(), worker, endpoints);
    co_await rpc::call(request.send(), [](auto&) { return true; });
}

asio::awaitable<void> keepAlive(rpc::Link link)
{
    auto found = co_await link.find("membership");
    auto request = found->castAs<wire::Membership>().keepAliveRequest();
    request.setWorker("worker-6300");
    request.setIncarnation(1'764'836'000'000);
    request.setSequence(86'400'000'000);
    co_await rpc::call(request.send(), [](auto&) { return true; });
}

asio::awaitable<void> snapshot(rpc::Link link)
{
    auto found = co_await link.find("membership");
    auto request = found->castAs<wire::Membership>().changesRequest();
    co_await rpc::call(request.send(), [](auto&) { return true; });
}

// Bytes on the wire so far. The last messages of a call are sent after its answer, so the loop first runs for another
// 20 ms.
asio::awaitable<uint64_t> bytesAfterLastMessages()
{
    co_await sleepFor(std::chrono::milliseconds(20));
    co_return rpc::bytesSent();
}

void print(const char* message, unsigned endpoints, uint64_t bytes, bool json)
{
    const char* format = json ? "{\"message\":\"%s\",\"endpoints\":%u,\"bytes\":%llu}\n" : "%-24s %9u %9llu\n";
    std::printf(format, message, endpoints, static_cast<unsigned long long>(bytes));
}

asio::awaitable<void> measure(rpc::Loop* loop, rpc::Link link, bool json)
{
    if (!json)
        std::printf("%-24s %9s %9s\n", "message", "endpoints", "bytes");
    for (unsigned endpoints : { 1U, 8U, 64U }) {
        co_await announce(link, "worker-6300", endpoints);
        uint64_t before = co_await bytesAfterLastMessages();
        for (int call = 0; call < calls; ++call)
            co_await announce(link, "worker-6300", endpoints);
        print("announcement", endpoints, (co_await bytesAfterLastMessages() - before) / calls, json);
        before = co_await bytesAfterLastMessages();
        for (int call = 0; call < calls; ++call)
            co_await keepAlive(link);
        print("keepalive", endpoints, (co_await bytesAfterLastMessages() - before) / calls, json);
    }
    for (unsigned worker = 0; worker < snapshotWorkers; ++worker)
        co_await announce(link, "worker-" + std::to_string(worker), 1);
    uint64_t before = co_await bytesAfterLastMessages();
    co_await snapshot(link);
    print("snapshot, each worker", 1, (co_await bytesAfterLastMessages() - before) / snapshotWorkers, json);
    loop->context().stop();
}

asio::awaitable<void> ignore(ViewAction)
{
    co_return;
}

} // namespace

int main(int argc, char** argv)
{
    bool json = argc > 1 && std::strcmp(argv[1], "--json") == 0;
    rpc::Loop loop;
    auto executor = loop.context().get_executor();
    ViewActor view(executor, SteadyClock(), [](ViewAction action) { return ignore(std::move(action)); });
    rpc::Interfaces interfaces;
    offerMembership(interfaces, view);
    auto server = rpc::Server::listen(executor, *Address::parse("127.0.0.1:0"), std::move(interfaces));
    if (!server.ok())
        return 1;
    spawn(executor, "measure", measure(&loop, rpc::Link(executor, (*server)->address()), json));
    loop.context().run();
    return 0;
}
