// The commands of nutmegctl. docs/operators.md describes them for operators.
#ifndef NUTMEGDRIFT_CTL_COMMANDS_H
#define NUTMEGDRIFT_CTL_COMMANDS_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/random.h"
#include "nutmegdrift/ctl/fleet_view.h"
#include "nutmegdrift/platform/object_store.h"

#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

namespace nutmegdrift::ctl {

/// Exit codes; docs/operators.md has the same table.
enum class ExitCode {
  Done = 0,
  Failed = 1,
  Usage = 2,
  InvalidFile = 3,
  LostRace = 4,
  PlatformUnavailable = 5,
  OutcomeUnknown = 6,
  NotFound = 7,
  TakenBack = 8,
  Partial = 9, ///< Some daemons gave no answer.
  TimedOut = 10,
};

/// What the commands work with, so that tests replace each part.
struct Environment {
  /// Connects to the platform at the address given by --platform.
  std::function<std::shared_ptr<platform::ObjectStore>(const HostPort &)>
      Connect;
  AdminClient &Admin;
  const Clock &Time;
  Random &Rng;
  std::ostream &Out;
  std::ostream &Problems; ///< Error messages.
  std::function<void(Duration)> Sleep;
  std::string User; ///< Author of changes if --author is not given.
};

/// Runs one command line, without the program's name.
ExitCode runCommand(const std::vector<std::string> &Arguments,
                    const Environment &With);

} // namespace nutmegdrift::ctl

#endif
