// Which connections give way when callers have too many of them.
#ifndef NUTMEGDRIFT_NET_CONNECTION_LIMIT_H
#define NUTMEGDRIFT_NET_CONNECTION_LIMIT_H

#include "nutmegdrift/base/clock.h"

#include <cstddef>
#include <vector>

namespace nutmegdrift::net {

/// What a connection is doing, in the order in which connections give way.
enum class ConnectionUse {
  Ending,  ///< Its last answer is sent; it waits for the caller's close.
  Unknown, ///< No request has been received on it, not even a header.
  Idle,    ///< Between requests.
  Busy,    ///< A request or an answer is in progress; never gives way.
};

struct ConnectionState {
  ConnectionUse Use = ConnectionUse::Busy;
  TimePoint Since{}; ///< End of the last answer, or start of the connection.
};

/// Indices of at most Count connections that give way, longest unused first
/// within each use.
std::vector<std::size_t>
chooseConnectionsToClose(const std::vector<ConnectionState> &States,
                         std::size_t Count);

} // namespace nutmegdrift::net

#endif
