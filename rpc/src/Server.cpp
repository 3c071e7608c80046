#include "persimmondoor/rpc/Server.h"

#include "Directory.capnp.h"
#include "LimitedMessageStream.h"
#include "SocketStream.h"
#include "decisions/PeerLedger.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/EventSummary.h"
#include "persimmondoor/core/Log.h"

#include "persimmondoor/core/Text.h"
#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <capnp/rpc-twoparty.h>

namespace persimmondoor::rpc {

namespace asio = boost::asio;

// Pause after a connection that could not be accepted, so that the server does not spin while it lacks file descriptors.
static constexpr Duration acceptRetryInterval = std::chrono::milliseconds(50);

capnp::Capability::Client Interfaces::find(const std::string& name) const
{
    auto found = clients_.find(name);
    if (found != clients_.end())
        return found->second;
    return kj::Exception(kj::Exception::Type::UNIMPLEMENTED, __FILE__, __LINE__, kj::str("no interface ", name.c_str()));
}

namespace {

    class DirectoryServer final : public wire::Directory::Server {
    public:
        explicit DirectoryServer(std::shared_ptr<const Interfaces> interfaces)
            : interfaces_(std::move(interfaces))
        {
        }

        kj::Promise<void> find(FindContext context) override
        {
            context.getResults().setInterface(interfaces_->find(context.getParams().getName().cStr()));
            return kj::READY_NOW;
        }

    private:
        std::shared_ptr<const Interfaces> interfaces_;
    };

    // One accepted connection.
    struct Connection {
        Connection(asio::ip::tcp::socket socket, std::string peer, capnp::Capability::Client directory, std::shared_ptr<ReceiveBudget> budget, const Limits& limits, std::function<void()> onMessage)
            : stream_(std::move(socket), std::move(budget))
            , messages_(stream_, std::move(peer), std::move(onMessage))
            , network_(messages_, capnp::rpc::twoparty::Side::SERVER, optionsFor(limits))
            , system_(capnp::makeRpcServer(network_, kj::mv(directory)))
        {
            system_.setFlowLimit(limits.messageBytes_ / sizeof(capnp::word));
        }

        // Cap'n Proto applies the traversal limit to the size of a message before it allocates memory for it.
        static capnp::ReaderOptions optionsFor(const Limits& limits)
        {
            capnp::ReaderOptions options;
            options.traversalLimitInWords = limits.messageBytes_ / sizeof(capnp::word);
            return options;
        }

        // What the peer makes this process hold.
        size_t heldBytes() { return messages_.openCallBytes() + network_.getCurrentQueueSize() + network_.getCurrentQueueCount() * messageOverheadBytes; }

        SocketStream stream_;
        LimitedMessageStream messages_;
        capnp::TwoPartyVatNetwork network_;
        capnp::RpcSystem<capnp::rpc::twoparty::VatId> system_;
    };

    class TCPServer final : public Server, public std::enable_shared_from_this<TCPServer> {
    public:
        TCPServer(asio::ip::tcp::acceptor acceptor, Interfaces interfaces, Limits limits)
            : acceptor_(std::move(acceptor))
            , limits_(limits)
            , budget_(std::make_shared<ReceiveBudget>(limits.memoryBytes_))
            , directory_(kj::heap<DirectoryServer>(std::make_shared<const Interfaces>(std::move(interfaces))))
            , connections_(std::make_shared<Connections>(limits.memoryBytes_))
        {
            endpoint_ = acceptor_.local_endpoint();
        }

        Address address() const override
        {
            return *Address::parse(concat(endpoint_.address().to_string(), ":", endpoint_.port()));
        }

        void close() override
        {
            boost::system::error_code ignored;
            acceptor_.close(ignored); // NOLINT(bugprone-unused-return-value)
            std::map<PeerNumber, Entry>().swap(connections_->open_);
        }

        asio::awaitable<void> run(std::shared_ptr<TCPServer> self)
        {
            while (self->acceptor_.is_open()) {
                boost::system::error_code error;
                asio::ip::tcp::socket socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
                if (error == asio::error::operation_aborted)
                    co_return;
                // The peer may be gone, or the process may be out of file descriptors for a while.
                if (error) {
                    logWarning("connection.not_accepted", { { "reason", error.message() } });
                    co_await sleepFor(acceptRetryInterval);
                    continue;
                }
                makeRoom();
                boost::system::error_code ignored;
                socket.set_option(asio::ip::tcp::no_delay(true), ignored); // NOLINT(bugprone-unused-return-value)
                adopt(std::move(socket));
            }
        }

    private:
        struct Entry {
            std::unique_ptr<Connection> connection_;
            kj::Promise<void> end_;
        };
        struct Connections {
            explicit Connections(size_t bytes)
                : ledger_(bytes)
            {
            }
            void erase(PeerNumber number)
            {
                ledger_.close(number);
                // Taken out first, as the end of a connection may send messages.
                open_.extract(number);
            }

            std::map<PeerNumber, Entry> open_;
            PeerLedger ledger_;
        };

        // If the limit is reached, closes the connection whose last message is the oldest, one without any message first.
        void makeRoom()
        {
            if (connections_->open_.size() < limits_.connections_)
                return;
            auto oldest = std::min_element(connections_->open_.begin(), connections_->open_.end(),
                [](const auto& left, const auto& right) { return left.second.connection_->messages_.lastMessage() < right.second.connection_->messages_.lastMessage(); });
            reportDisplaced("its last message is the oldest");
            connections_->erase(oldest->first);
        }

        void reportDisplaced(std::string_view reason)
        {
            logDebug("connection.displaced", { { "port", std::to_string(endpoint_.port()) }, { "reason", std::string(reason) } });
            if (auto events = report_.add(now(SteadyClock())))
                logWarning("connections.over_limit", { { "address", address().text() }, { "events", std::to_string(*events) }, { "reason", std::string(reason) }, { "connections", std::to_string(connections_->open_.size()) }, { "held_bytes", std::to_string(connections_->ledger_.heldBytes()) } });
        }

        // Accounts for what a connection holds now. If all hold too much, closes the one that holds most.
        void account(PeerNumber number)
        {
            auto found = connections_->open_.find(number);
            if (found == connections_->open_.end())
                return;
            connections_->ledger_.hold(number, found->second.connection_->heldBytes());
            while (auto closing = connections_->ledger_.connectionToClose()) {
                reportDisplaced("it held most for calls and answers");
                connections_->ledger_.close(*closing);
                // It may be the one whose message is being handled.
                spawn(acceptor_.get_executor(), "rpc connection end", erase(connections_, *closing));
            }
        }

        void adopt(asio::ip::tcp::socket socket)
        {
            PeerNumber number = nextNumber_++;
            asio::any_io_executor executor = socket.get_executor();
            // Names the peer in log lines only; it may have gone already.
            boost::system::error_code ignored;
            std::string peer = socket.remote_endpoint(ignored).address().to_string();
            auto connection = std::make_unique<Connection>(std::move(socket), std::move(peer), directory_, budget_, limits_, [this, number, alive = std::weak_ptr(connections_)] {
                if (!alive.expired())
                    account(number);
            });
            // The entry cannot be erased inside its own promise, so the erasure is posted.
            kj::Promise<void> end = connection->network_.onDisconnect().then([executor, number, weak = std::weak_ptr(connections_)] {
                spawn(executor, "rpc connection end", erase(weak, number));
            });
            connections_->ledger_.open(number);
            connections_->open_.emplace(number, Entry { std::move(connection), end.eagerlyEvaluate([](kj::Exception&&) {}) });
        }

        static asio::awaitable<void> erase(std::weak_ptr<Connections> weak, PeerNumber number)
        {
            co_await sleepFor(Duration(0));
            if (auto connections = weak.lock())
                connections->erase(number);
        }

        asio::ip::tcp::acceptor acceptor_;
        asio::ip::tcp::endpoint endpoint_;
        Limits limits_;
        std::shared_ptr<ReceiveBudget> budget_;
        EventSummary report_;
        wire::Directory::Client directory_;
        std::shared_ptr<Connections> connections_;
        PeerNumber nextNumber_ { 0 };
    };

    // Lets the caller hold a unique_ptr to the server while the accept loop shares it.
    class ServerHandle final : public Server {
    public:
        explicit ServerHandle(std::shared_ptr<TCPServer> server)
            : server_(std::move(server))
        {
        }
        ~ServerHandle() override { server_->close(); }
        ServerHandle(const ServerHandle&) = delete;
        ServerHandle& operator=(const ServerHandle&) = delete;
        Address address() const override { return server_->address(); }
        void close() override { server_->close(); }

    private:
        std::shared_ptr<TCPServer> server_;
    };

} // namespace

absl::StatusOr<std::unique_ptr<Server>> Server::listen(const asio::any_io_executor& executor, const Address& address, Interfaces interfaces, Limits limits)
{
    asio::ip::tcp::acceptor acceptor(executor);
    asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip()), address.port());
    try {
        acceptor.open(endpoint.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
    } catch (const boost::system::system_error& error) {
        return absl::UnavailableError(concat("cannot listen on ", address.text(), ": ", error.what()));
    }
    auto server = std::make_shared<TCPServer>(std::move(acceptor), std::move(interfaces), limits);
    spawn(executor, "rpc server", server->run(server));
    return std::make_unique<ServerHandle>(server);
}

} // namespace persimmondoor::rpc
