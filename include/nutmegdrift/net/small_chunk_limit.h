// A limit on the rate of small chunks that an endpoint may send.
#ifndef NUTMEGDRIFT_NET_SMALL_CHUNK_LIMIT_H
#define NUTMEGDRIFT_NET_SMALL_CHUNK_LIMIT_H

#include "nutmegdrift/base/clock.h"

namespace nutmegdrift::net {

/// A chunk costs the event loop the same however short it is, so an endpoint
/// can use all of its time with few bytes. A token bucket over all connections
/// to one endpoint.
class SmallChunkLimit {
public:
  /// Shorter chunks are counted, in bytes of their body.
  static constexpr std::size_t SmallBytes = 64;
  /// An engine sends 3,000 tokens a second at the target size, in a chunk each
  /// at most.
  static constexpr double PerSecond = 20000.0;
  static constexpr double Burst = PerSecond;

  /// Counts chunks that were received. Returns the time for which the
  /// connection must not be read; zero or less: none.
  Duration add(std::size_t Chunks, TimePoint Now);

private:
  double m_available = Burst;
  TimePoint m_updated{};
};

} // namespace nutmegdrift::net

#endif
