// Usage reports. Interface only; the ledger is added with the usage counts.
#ifndef NUTMEGDRIFT_POLICY_USAGE_LEDGER_H
#define NUTMEGDRIFT_POLICY_USAGE_LEDGER_H

#include <cstdint>
#include <map>
#include <string>

namespace nutmegdrift::policy {

/// Requests that began to run in one window, by workspace.
struct UsageReport {
  std::uint64_t Window = 0;
  std::map<std::string, std::uint64_t> Counts;

  friend bool operator==(const UsageReport &, const UsageReport &) = default;
};

} // namespace nutmegdrift::policy

#endif
