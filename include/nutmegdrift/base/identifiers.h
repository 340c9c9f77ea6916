// Identifiers shared by all modules.
#ifndef NUTMEGDRIFT_BASE_IDENTIFIERS_H
#define NUTMEGDRIFT_BASE_IDENTIFIERS_H

#include "nutmegdrift/base/random.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace nutmegdrift {

/// Name of a daemon, from its settings; does not change on restart.
using DaemonName = std::string;

/// Identifies one run of a daemon. Each restart generates a new boot id, so
/// that state of an earlier run is never taken for state of the current one.
using BootId = std::uint64_t;

/// The target of a request: a model or a plain service.
struct Target {
  enum class Kind { Model, Service };
  Kind Type = Kind::Model;
  std::string Name;

  friend bool operator==(const Target &, const Target &) = default;
  friend bool operator<(const Target &A, const Target &B) {
    return std::tie(A.Type, A.Name) < std::tie(B.Type, B.Name);
  }
};

/// "model:NAME" or "service:NAME".
std::string toString(const Target &Value);
std::optional<Target> parseTarget(std::string_view Text);

/// Permission to run one request at most once, valid only at its home daemon
/// and in the boot that issued it. Text form: "home.boot.sequence" with boot in
/// hexadecimal.
struct Ticket {
  DaemonName Home;
  BootId Boot = 0;
  std::uint64_t Sequence = 0;

  friend bool operator==(const Ticket &, const Ticket &) = default;
  friend bool operator<(const Ticket &A, const Ticket &B) {
    return std::tie(A.Home, A.Boot, A.Sequence) <
           std::tie(B.Home, B.Boot, B.Sequence);
  }
};

std::string toString(const Ticket &Value);
std::optional<Ticket> parseTicket(std::string_view Text);

/// A request id that is unique in the fleet: "daemon-boot-counter".
std::string makeRequestId(const DaemonName &Daemon, BootId Boot,
                          std::uint64_t Counter);

/// A random boot id; a collision with an earlier run is very unlikely.
BootId makeBootId(Random &Rng);

/// IP address and port of a listening socket.
struct HostPort {
  std::string Host;
  std::uint16_t Port = 0;

  friend bool operator==(const HostPort &, const HostPort &) = default;
  friend bool operator<(const HostPort &A, const HostPort &B) {
    return std::tie(A.Host, A.Port) < std::tie(B.Host, B.Port);
  }
};

/// "host:port".
std::string toString(const HostPort &Address);
std::optional<HostPort> parseHostPort(std::string_view Text);

/// 64-bit xxhash of the text.
std::uint64_t hashText(std::string_view Text, std::uint64_t Seed = 0);

} // namespace nutmegdrift

#endif
