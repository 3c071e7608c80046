#include "Proxy.h"

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <vector>

namespace persimmondoor::soak {

namespace asio = boost::asio;

static constexpr Duration linkDelay = std::chrono::milliseconds(150);
static constexpr Duration holdInterval = std::chrono::milliseconds(20);
static constexpr size_t bufferBytes = 16'384;

// The two sockets of one connection.
struct Pair {
    explicit Pair(asio::ip::tcp::socket client)
        : client_(std::move(client))
        , server_(client_.get_executor())
    {
    }

    void reset()
    {
        boost::system::error_code ignored;
        for (asio::ip::tcp::socket* socket : { &client_, &server_ }) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored); // NOLINT(bugprone-unused-return-value)
            socket->close(ignored); // NOLINT(bugprone-unused-return-value)
        }
    }

    asio::ip::tcp::socket client_;
    asio::ip::tcp::socket server_;
    bool isSilent_ { false };
};

struct Proxy::State {
    State(asio::ip::tcp::acceptor acceptor, asio::ip::tcp::endpoint target)
        : acceptor_(std::move(acceptor))
        , target_(std::move(target))
    {
    }

    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint target_;
    std::optional<LinkFault> fault_;
    std::vector<std::weak_ptr<Pair>> pairs_;
};

namespace {

    enum class Direction : uint8_t {
        Forth,
        Back,
    };

} // namespace

// True while bytes in this direction are held back.
template <typename State>
static bool isCut(const State& state, const Pair& pair, Direction direction)
{
    LinkFault cut = direction == Direction::Forth ? LinkFault::CutForth : LinkFault::CutBack;
    return pair.isSilent_ || state.fault_ == cut;
}

template <typename State>
static asio::awaitable<void> pump(std::shared_ptr<State> state, std::shared_ptr<Pair> pair, Direction direction)
{
    asio::ip::tcp::socket& from = direction == Direction::Forth ? pair->client_ : pair->server_;
    asio::ip::tcp::socket& to = direction == Direction::Forth ? pair->server_ : pair->client_;
    std::array<char, bufferBytes> buffer {};
    boost::system::error_code error;
    while (!error) {
        size_t size = co_await from.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        while (isCut(*state, *pair, direction) && pair->client_.is_open())
            co_await sleepFor(holdInterval);
        if (state->fault_ == LinkFault::Delay)
            co_await sleepFor(linkDelay);
        if (!error)
            co_await asio::async_write(to, asio::buffer(buffer.data(), size), asio::redirect_error(asio::use_awaitable, error));
    }
    pair->reset();
}

template <typename State>
static asio::awaitable<void> connect(std::shared_ptr<State> state, std::shared_ptr<Pair> pair)
{
    boost::system::error_code error;
    co_await pair->server_.async_connect(state->target_, asio::redirect_error(asio::use_awaitable, error));
    if (error || state->fault_ == LinkFault::Reset) {
        pair->reset();
        co_return;
    }
    boost::system::error_code ignored;
    pair->client_.set_option(asio::ip::tcp::no_delay(true), ignored); // NOLINT(bugprone-unused-return-value)
    pair->server_.set_option(asio::ip::tcp::no_delay(true), ignored); // NOLINT(bugprone-unused-return-value)
    std::erase_if(state->pairs_, [](const std::weak_ptr<Pair>& weak) { return weak.expired(); });
    state->pairs_.push_back(pair);
    spawn(state->acceptor_.get_executor(), "proxy forth", pump(state, pair, Direction::Forth));
    spawn(state->acceptor_.get_executor(), "proxy back", pump(state, pair, Direction::Back));
}

template <typename State>
static asio::awaitable<void> accept(std::shared_ptr<State> state)
{
    for (;;) {
        boost::system::error_code error;
        asio::ip::tcp::socket client = co_await state->acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        spawn(state->acceptor_.get_executor(), "proxy connection", connect(state, std::make_shared<Pair>(std::move(client))));
    }
}

Proxy::Proxy(std::shared_ptr<State> state)
    : state_(std::move(state))
{
}

Proxy::~Proxy()
{
    boost::system::error_code ignored;
    state_->acceptor_.close(ignored); // NOLINT(bugprone-unused-return-value)
    setFault(LinkFault::Reset);
}

absl::StatusOr<std::unique_ptr<Proxy>> Proxy::start(const asio::any_io_executor& executor, const Address& address, const Address& target)
{
    asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip()), address.port());
    asio::ip::tcp::acceptor acceptor(executor);
    try {
        acceptor.open(endpoint.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
    } catch (const boost::system::system_error& error) {
        return absl::UnavailableError(concat("cannot listen on ", address.text(), ": ", error.what()));
    }
    auto state = std::make_shared<State>(std::move(acceptor), asio::ip::tcp::endpoint(asio::ip::make_address(target.ip()), target.port()));
    spawn(executor, "proxy", accept(state));
    return std::unique_ptr<Proxy>(new Proxy(std::move(state)));
}

void Proxy::setFault(std::optional<LinkFault> fault)
{
    state_->fault_ = fault;
    for (const std::weak_ptr<Pair>& weak : state_->pairs_) {
        auto pair = weak.lock();
        if (pair && fault == LinkFault::Reset)
            pair->reset();
        if (pair && fault == LinkFault::Silence)
            pair->isSilent_ = true;
    }
}

} // namespace persimmondoor::soak
