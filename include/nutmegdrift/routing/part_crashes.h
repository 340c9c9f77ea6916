// Detection of prompt parts that crash the replicas that process them.
#ifndef NUTMEGDRIFT_ROUTING_PART_CRASHES_H
#define NUTMEGDRIFT_ROUTING_PART_CRASHES_H

#include "nutmegdrift/routing/engine_estimate.h"
#include "nutmegdrift/routing/replica_table.h"

#include <deque>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace nutmegdrift::routing {

/// Requests whose prompts have all of these parts must not be sent to replicas
/// any more.
struct PartVerdict {
  /// Sorted. More than one if the crashes don't tell which of them is the
  /// cause.
  std::vector<std::uint64_t> Parts;
  std::vector<ReplicaId> Crashed; ///< Replicas, one for each crash.

  friend bool operator==(const PartVerdict &, const PartVerdict &) = default;
};

/// A crash of a replica while a request was about to begin on it.
struct CrashedRequest {
  RequestKey Key = 0;
  ReplicaId Replica;
  std::vector<std::uint64_t> Parts; ///< See sharedParts().
  TimePoint SentAt{};

  friend bool operator==(const CrashedRequest &,
                         const CrashedRequest &) = default;
};

/// The ids of the parts that a prompt shares with others: all but the last.
std::vector<std::uint64_t> sharedParts(const std::vector<PromptPart> &Prompt);

/// Compares the crashes and the begun answers of the requests of one service. A
/// part that crashes replicas has crashes and no begun answer; every other part
/// of the same requests soon has one. Several replicas that fail at the same
/// moment, as in a power failure, count as one crash of a part. Not
/// thread-safe; does no I/O.
class PartCrashes {
public:
  /// Least number of crashes in a row, without a begun answer between them,
  /// after which a part is quarantined.
  static constexpr std::size_t MinCrashes = 3;
  /// A part is quarantined if that many crashes in a row would be less likely
  /// than this for one whose requests crash as often as all others. This needs
  /// more crashes while many requests fail.
  static constexpr double ChanceLimit = 1e-4;
  /// If fewer answers begin for each crash of a part, the service fails for
  /// another reason.
  static constexpr double MinStartsPerCrash = 1.0;
  /// A replica may crash this long after an answer has begun.
  static constexpr Duration ProofDelay = std::chrono::milliseconds(250);
  static constexpr Duration EvidenceRetention = std::chrono::minutes(10);
  /// Parts with crashes that are kept; those whose crash is oldest go first.
  static constexpr std::size_t MaxParts = 4096;
  static constexpr std::size_t MaxAmbiguous = 64;

  void sent(RequestKey Key, const std::vector<PromptPart> &Prompt);
  /// The answer has begun.
  void started(RequestKey Key, TimePoint Now);
  void ended(RequestKey Key) { m_running.erase(Key); }
  void crashed(const CrashedRequest &Request, TimePoint Now);
  /// The verdicts since the last call. A later crash of the same parts repeats
  /// theirs.
  std::vector<PartVerdict> takeVerdicts();

private:
  struct Crash {
    TimePoint At{};
    ReplicaId Replica;
    // Requests of the service until then.
    std::uint64_t StartsBefore = 0;
    std::uint64_t LostBefore = 0;
  };
  /// The crashes of one part.
  struct Suspect {
    std::vector<Crash> Crashes; ///< Since its last begun answer, oldest first.
    std::uint64_t Lost = 0;     ///< Requests, since the oldest of Crashes.
  };
  struct Start {
    RequestKey Key;
    TimePoint At;
    std::vector<std::uint64_t> Parts;
  };

  /// Applies the starts that the replica has outlived.
  void applyStarts(TimePoint Now);
  void expire(TimePoint Now);
  /// Removes the crashes for which Removable holds, and suspects without any.
  void removeCrashes(Suspect &From,
                     const std::function<bool(const Crash &)> &Removable);
  [[nodiscard]] bool certain(std::uint64_t Part, const Suspect &Value) const;
  void judge(const std::vector<std::uint64_t> &Parts);
  /// Part is not the cause of the crashes that led to a verdict on it and
  /// others.
  void exonerate(std::uint64_t Part);

  /// Shared parts of the requests that have not ended.
  std::unordered_map<RequestKey, std::vector<std::uint64_t>> m_running;
  std::deque<Start> m_recentStarts; ///< Oldest first.
  // Requests whose answers began, and those that crashes prevented.
  std::uint64_t m_starts = 0;
  std::uint64_t m_lost = 0;
  std::map<std::uint64_t, Suspect> m_suspects; ///< Each has a crash.
  std::vector<PartVerdict> m_ambiguous;        ///< Verdicts on several parts.
  std::vector<PartVerdict> m_verdicts;         ///< Not yet taken.
};

} // namespace nutmegdrift::routing

#endif
