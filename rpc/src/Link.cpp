#include "persimmondoor/rpc/Link.h"

#include "Directory.capnp.h"
#include "LimitedMessageStream.h"
#include "SocketStream.h"
#include "persimmondoor/core/Coroutine.h"

#include "persimmondoor/core/Text.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <capnp/rpc-twoparty.h>
#include <map>
#include <optional>

namespace persimmondoor::rpc {

namespace asio = boost::asio;

namespace {

    struct Connection {
        Connection(asio::ip::tcp::socket socket, std::string peer)
            : stream_(std::move(socket))
            , messages_(stream_, std::move(peer))
            , network_(messages_, capnp::rpc::twoparty::Side::CLIENT)
            , system_(capnp::makeRpcClient(network_))
            , directory_(bootstrap(system_).castAs<wire::Directory>())
            , end_(network_.onDisconnect().then([open = isOpen_] { *open = false; }).eagerlyEvaluate([](kj::Exception&&) {}))
        {
        }

        static capnp::Capability::Client bootstrap(capnp::RpcSystem<capnp::rpc::twoparty::VatId>& system)
        {
            capnp::MallocMessageBuilder message;
            auto vatId = message.initRoot<capnp::rpc::twoparty::VatId>();
            vatId.setSide(capnp::rpc::twoparty::Side::SERVER);
            return system.bootstrap(vatId);
        }

        capnp::Capability::Client find(const std::string& name)
        {
            auto known = interfaces_.find(name);
            if (known != interfaces_.end())
                return known->second;
            auto request = directory_.findRequest();
            request.setName(name.c_str());
            capnp::Capability::Client client = request.send().getInterface();
            interfaces_.insert_or_assign(name, client);
            return client;
        }

        std::shared_ptr<bool> isOpen_ { std::make_shared<bool>(true) };
        SocketStream stream_;
        LimitedMessageStream messages_;
        capnp::TwoPartyVatNetwork network_;
        capnp::RpcSystem<capnp::rpc::twoparty::VatId> system_;
        wire::Directory::Client directory_;
        std::map<std::string, capnp::Capability::Client> interfaces_;
        kj::Promise<void> end_;
    };

} // namespace

struct Link::State {
    asio::any_io_executor executor_;
    Address address_;
    std::unique_ptr<Connection> connection_;

    bool isOpen() const { return connection_ && *connection_->isOpen_; }
};

static asio::awaitable<absl::StatusOr<std::shared_ptr<asio::ip::tcp::socket>>> connectTo(asio::any_io_executor executor, Address address)
{
    auto socket = std::make_shared<asio::ip::tcp::socket>(executor);
    asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip()), address.port());
    boost::system::error_code error;
    co_await socket->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return absl::UnavailableError(concat("cannot connect to ", address.text(), ": ", error.message()));
    socket->set_option(asio::ip::tcp::no_delay(true));
    co_return socket;
}

Link::Link(const asio::any_io_executor& executor, Address address)
    : state_(std::make_shared<State>(State { executor, std::move(address), nullptr }))
{
}

asio::awaitable<absl::StatusOr<capnp::Capability::Client>> Link::find(std::string name) const
{
    std::shared_ptr<State> state = state_;
    if (!state->isOpen()) {
        auto socket = co_await withTimeout(connectTo(state->executor_, state->address_), connectTimeout);
        if (!socket.ok())
            co_return socket.status();
        // Another caller may have connected while this one waited.
        if (!state->isOpen())
            state->connection_ = std::make_unique<Connection>(std::move(**socket), state->address_.text());
    }
    co_return state->connection_->find(name);
}

const Address& Link::address() const
{
    return state_->address_;
}

uint64_t bytesSent()
{
    return threadStreamBytes().sent_;
}

uint64_t bytesReceived()
{
    return threadStreamBytes().received_;
}

} // namespace persimmondoor::rpc
