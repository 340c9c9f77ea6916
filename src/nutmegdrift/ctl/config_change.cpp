#include "nutmegdrift/ctl/config_change.h"

namespace nutmegdrift::ctl {

namespace {

/// Writes tried after answers were lost; the condition makes each one safe.
constexpr int MaxTries = 3;

std::string joined(const std::vector<std::string> &Parts) {
  std::string Out;
  for (const auto &Part : Parts) {
    if (!Out.empty())
      Out += "; ";
    Out += Part;
  }
  return Out;
}

std::string describeWinner(const config::FleetConfig &Before,
                           const config::ConfigDocument &Winner) {
  const auto &Note = Winner.LastChange;
  return "version " + std::to_string(Winner.Config.Version) + " by " +
         (Note.Author.empty() ? "an unnamed author" : Note.Author) +
         (Note.Summary.empty() ? "" : " (" + Note.Summary + ")") +
         "; changed since version " + std::to_string(Before.Version) + ": " +
         joined(config::describeChanges(Before, Winner.Config));
}

} // namespace

Result<config::ConfigDocument> readConfig(platform::ObjectStore &Store) {
  const auto Found =
      capture([&] { return Store.get(config::ConfigObjectName); });
  if (!Found && Found.Failure.Kind == ErrorKind::NotFound)
    return config::ConfigDocument{};
  if (!Found)
    return fail(Found.Failure);
  return config::parseConfigDocument(Found->Text, Found->Version);
}

Result<Applied> writeConfig(platform::ObjectStore &Store,
                            const config::FleetConfig &Before,
                            const config::FleetConfig &After,
                            config::ChangeNote Note) {
  Applied Out{.Version = Before.Version,
              .Changes = config::describeChanges(Before, After)};
  if (Out.Changes.empty())
    return Out;
  Note.Summary = joined(Out.Changes);
  const auto Text = config::printConfigDocument({After, Note});
  bool MayBeWritten = false;
  for (int Try = 0; Try < MaxTries; ++Try) {
    const auto Done = capture([&] {
      return Store.put(config::ConfigObjectName, Text, Before.Version);
    });
    if (Done) {
      Out.Version = *Done;
      return Out;
    }
    const auto Kind = Done.Failure.Kind;
    MayBeWritten = MayBeWritten || Kind == ErrorKind::PlatformOutcomeUnknown;
    if (Kind != ErrorKind::Conflict &&
        Kind != ErrorKind::PlatformOutcomeUnknown)
      return fail(MayBeWritten ? ErrorKind::PlatformOutcomeUnknown : Kind,
                  Done.Failure.Message);
    const auto Stored = capture([&] { return readConfig(Store); });
    if (!Stored)
      return fail(MayBeWritten ? ErrorKind::PlatformOutcomeUnknown : Kind,
                  Done.Failure.Message +
                      "; reading back failed: " + Stored.Failure.Message);
    if (MayBeWritten && Stored->LastChange.Nonce == Note.Nonce) {
      Out.Version = Stored->Config.Version;
      return Out;
    }
    if (Stored->Config.Version == Before.Version)
      continue; // Not written yet, or a stale read.
    const auto Winner = describeWinner(Before, *Stored);
    if (MayBeWritten)
      return fail(ErrorKind::PlatformOutcomeUnknown,
                  "the answer was lost; the stored configuration is " + Winner);
    return fail(ErrorKind::Conflict, "lost to " + Winner);
  }
  return fail(MayBeWritten ? ErrorKind::PlatformOutcomeUnknown
                           : ErrorKind::Conflict,
              "version " + std::to_string(Before.Version) +
                  " was refused or its answer lost " +
                  std::to_string(MaxTries) + " times; read it again");
}

} // namespace nutmegdrift::ctl
