#include "persimmondoor/rpc/Loop.h"

#include <boost/asio/post.hpp>
#include <kj/async.h>
#include <kj/debug.h>

namespace persimmondoor::rpc {

namespace {

    // Maximum number of Cap'n Proto events handled before control returns to Asio.
    constexpr uint32_t eventsPerTurn = 1000;

    class AsioEventPort final : public kj::EventPort {
    public:
        void attach(kj::EventLoop& loop, boost::asio::io_context& context)
        {
            loop_ = &loop;
            context_ = &context;
        }
        // Called before the context is destroyed; nothing is posted to it afterwards.
        void stopPosting() { context_ = nullptr; }

        // Nothing in this program blocks on a promise; waiting happens in Asio alone.
        bool wait() override { KJ_FAIL_REQUIRE("blocking wait on a promise"); } // NOLINT(bugprone-suspicious-semicolon)
        bool poll() override { return false; }

        void setRunnable(bool runnable) override
        {
            isRunnable_ = runnable;
            if (isRunnable_ && !isTurnPosted_ && context_)
                postTurn();
        }

    private:
        void postTurn()
        {
            isTurnPosted_ = true;
            boost::asio::post(*context_, [this] { runTurn(); });
        }

        void runTurn()
        {
            isTurnPosted_ = false;
            loop_->run(eventsPerTurn);
            if (isRunnable_ && !isTurnPosted_ && context_)
                postTurn();
        }

        boost::asio::io_context* context_ { nullptr };
        kj::EventLoop* loop_ { nullptr };
        bool isRunnable_ { false };
        bool isTurnPosted_ { false };
    };

} // namespace

// The order of the members matters: handlers in the context hold promises, so the context must be destroyed before
// Cap'n Proto's loop.
struct Loop::Implementation {
    Implementation()
        : loop_(port_)
        , scope_(loop_)
        , context_(std::make_unique<boost::asio::io_context>(1))
    {
        port_.attach(loop_, *context_);
    }
    ~Implementation() { port_.stopPosting(); }
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    AsioEventPort port_;
    kj::EventLoop loop_;
    kj::WaitScope scope_;
    std::unique_ptr<boost::asio::io_context> context_;
};

Loop::Loop()
    : implementation_(std::make_unique<Implementation>())
{
}

Loop::~Loop() = default;

boost::asio::io_context& Loop::context()
{
    return *implementation_->context_;
}

} // namespace persimmondoor::rpc
