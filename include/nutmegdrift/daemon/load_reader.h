// Reads the load that model engines report.
#ifndef NUTMEGDRIFT_DAEMON_LOAD_READER_H
#define NUTMEGDRIFT_DAEMON_LOAD_READER_H

#include "nutmegdrift/config/fleet_config.h"

#include <chrono>
#include <optional>
#include <string>

namespace nutmegdrift::daemon {

/// The answer of GET /load; it lags behind what runs.
struct EngineLoad {
  std::size_t Running = 0;
  std::size_t Waiting = 0;
  std::string Version;

  friend bool operator==(const EngineLoad &, const EngineLoad &) = default;
};

/// Nothing if the engine gives no usable answer within Timeout, and for plain
/// services, which report no load.
std::optional<EngineLoad> readLoad(const config::Replica &At,
                                   std::chrono::milliseconds Timeout);

} // namespace nutmegdrift::daemon

#endif
