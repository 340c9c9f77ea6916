// Reading of msgpack from other processes, within limits.
#ifndef NUTMEGDRIFT_BASE_MSGPACK_READER_H
#define NUTMEGDRIFT_BASE_MSGPACK_READER_H

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace nutmegdrift {

struct MsgpackLimits {
  std::size_t MaxDepth = 6; ///< Arrays inside each other.
  std::size_t MaxValues = std::size_t{1} << 18U;
};

/// Reads arrays of scalars. Nothing if the bytes are not msgpack, hold maps or
/// binary values, or exceed a limit.
std::optional<nlohmann::json> readMsgpack(std::string_view Bytes,
                                          MsgpackLimits Limits = {});

} // namespace nutmegdrift

#endif
