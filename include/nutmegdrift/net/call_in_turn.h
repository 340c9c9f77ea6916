// A call that waits as long as a request that arrives now.
#ifndef NUTMEGDRIFT_NET_CALL_IN_TURN_H
#define NUTMEGDRIFT_NET_CALL_IN_TURN_H

#include "nutmegdrift/net/event_loop.h"

namespace nutmegdrift::net {

/// Calls Callback behind all that the loop has ready, and behind what its next
/// look for I/O finds. A timer fires between two handlers, so it does not show
/// how long they take. Nothing is called once Owner has expired.
void callInTurn(EventLoop &Loop, std::weak_ptr<void> Owner,
                std::function<void()> Callback);

} // namespace nutmegdrift::net

#endif
