// Formatting of values in log lines.
#ifndef NUTMEGDRIFT_GATEWAY_LOG_TEXT_H
#define NUTMEGDRIFT_GATEWAY_LOG_TEXT_H

#include "nutmegdrift/base/clock.h"

#include <string>

namespace nutmegdrift::gateway {

/// Whole milliseconds.
inline std::string millisText(Duration Time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

} // namespace nutmegdrift::gateway

#endif
