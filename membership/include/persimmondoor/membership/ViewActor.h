/// The actor that owns an entry's view of the workers and tells a listener what changes.
///
/// \code
/// ViewActor view(executor, clock, [router](ViewAction action) { return tell(router, action); });
/// view.announce(announcement);
/// \endcode
#pragma once

#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/membership/View.h"
#include "persimmondoor/rpc/Server.h"
#include "persimmondoor/settings/Distribution.h"

#include <functional>

namespace persimmondoor::membership {

/// Takes a change in; the view goes on when the returned coroutine ends, so that no change is lost.
using ViewListener = std::function<boost::asio::awaitable<void>(ViewAction)>;

class ViewActor {
public:
    /// Starts the actor on `executor`.
    ViewActor(const boost::asio::any_io_executor& executor, Clock clock, ViewListener listener);

    /// Takes an announcement in; if the mailbox is full it is dropped, as the next one repeats it.
    void announce(Announcement) const;
    /// Ends the actor.
    void stop() const { mailbox_.close(); }

private:
    Mailbox<ViewMessage> mailbox_;
};

/// Says where the sender of an announcement gets newer settings from.
using HintSource = std::function<boost::asio::awaitable<settings::Hint>(settings::Heard)>;

/// Offers the view to agents under the name "membership".
/// \param hints answers for the settings; without it every announcer is told that its settings are up to date.
void offerMembership(rpc::Interfaces&, const boost::asio::any_io_executor&, ViewActor, HintSource hints = {});

} // namespace persimmondoor::membership
