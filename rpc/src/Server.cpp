#include "persimmondoor/rpc/Server.h"

#include "Directory.capnp.h"
#include "LimitedMessageStream.h"
#include "SocketStream.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"

#include "persimmondoor/core/Text.h"
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
        Connection(asio::ip::tcp::socket socket, std::string peer, capnp::Capability::Client directory)
            : stream_(std::move(socket))
            , messages_(stream_, std::move(peer))
            , network_(messages_, capnp::rpc::twoparty::Side::SERVER)
            , system_(capnp::makeRpcServer(network_, kj::mv(directory)))
        {
        }

        SocketStream stream_;
        LimitedMessageStream messages_;
        capnp::TwoPartyVatNetwork network_;
        capnp::RpcSystem<capnp::rpc::twoparty::VatId> system_;
    };

    class TCPServer final : public Server, public std::enable_shared_from_this<TCPServer> {
    public:
        TCPServer(asio::ip::tcp::acceptor acceptor, Interfaces interfaces)
            : acceptor_(std::move(acceptor))
            , directory_(kj::heap<DirectoryServer>(std::make_shared<const Interfaces>(std::move(interfaces))))
            , connections_(std::make_shared<ConnectionMap>())
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
            connections_->clear();
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
        using ConnectionMap = std::map<uint64_t, Entry>;

        void adopt(asio::ip::tcp::socket socket)
        {
            uint64_t number = nextNumber_++;
            asio::any_io_executor executor = socket.get_executor();
            // Names the peer in log lines only; it may have gone already.
            boost::system::error_code ignored;
            std::string peer = socket.remote_endpoint(ignored).address().to_string();
            auto connection = std::make_unique<Connection>(std::move(socket), std::move(peer), directory_);
            // The entry cannot be erased inside its own promise, so the erasure is posted.
            kj::Promise<void> end = connection->network_.onDisconnect().then([executor, number, weak = std::weak_ptr(connections_)] {
                spawn(executor, "rpc connection end", erase(weak, number));
            });
            connections_->emplace(number, Entry { std::move(connection), end.eagerlyEvaluate([](kj::Exception&&) {}) });
        }

        static asio::awaitable<void> erase(std::weak_ptr<ConnectionMap> weak, uint64_t number)
        {
            co_await sleepFor(Duration(0));
            if (auto connections = weak.lock())
                connections->erase(number);
        }

        asio::ip::tcp::acceptor acceptor_;
        asio::ip::tcp::endpoint endpoint_;
        wire::Directory::Client directory_;
        std::shared_ptr<ConnectionMap> connections_;
        uint64_t nextNumber_ { 0 };
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

absl::StatusOr<std::unique_ptr<Server>> Server::listen(const asio::any_io_executor& executor, const Address& address, Interfaces interfaces)
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
    auto server = std::make_shared<TCPServer>(std::move(acceptor), std::move(interfaces));
    spawn(executor, "rpc server", server->run(server));
    return std::make_unique<ServerHandle>(server);
}

} // namespace persimmondoor::rpc
