// Queues a call twice, so that a look for I/O comes before it.
#include "nutmegdrift/net/call_in_turn.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace nutmegdrift::net {

void callInTurn(EventLoop &Loop, std::weak_ptr<void> Owner,
                std::function<void()> Callback) {
  boost::asio::post(Loop, [&Loop, Owner = std::move(Owner),
                           Callback = std::move(Callback)]() mutable {
    if (Owner.expired())
      return;
    boost::asio::post(
        Loop, [Owner = std::move(Owner), Callback = std::move(Callback)] {
          if (!Owner.expired())
            Callback();
        });
  });
}

} // namespace nutmegdrift::net
