/// An Asio event loop that also runs Cap'n Proto's event loop, for one thread. Create it before any other object of
/// this library on that thread and destroy it after them; coroutines left in the loop are destroyed with it.
///
/// \code
/// rpc::Loop loop;
/// spawn(loop.context().get_executor(), "work", work());
/// loop.context().run();
/// \endcode
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

namespace persimmondoor::rpc {

class Loop {
public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    boost::asio::io_context& context();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace persimmondoor::rpc
