// Token bucket of small chunks.
#include "nutmegdrift/net/small_chunk_limit.h"

#include <algorithm>

namespace nutmegdrift::net {

Duration SmallChunkLimit::add(std::size_t Chunks, TimePoint Now) {
  const std::chrono::duration<double> Passed = Now - m_updated;
  m_available = std::min(Burst, m_available + Passed.count() * PerSecond) -
                static_cast<double>(Chunks);
  m_updated = Now;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(-m_available / PerSecond));
}

} // namespace nutmegdrift::net
