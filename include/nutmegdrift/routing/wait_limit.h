// How long requests may wait before their prompts are read.
#ifndef NUTMEGDRIFT_ROUTING_WAIT_LIMIT_H
#define NUTMEGDRIFT_ROUTING_WAIT_LIMIT_H

#include "nutmegdrift/base/clock.h"

#include <cstddef>
#include <map>

namespace nutmegdrift::routing {

/// Limits the waiting time of requests so that large prompts are not refused
/// for their reading time alone. A queued request may wait until its prompt
/// can no longer be read within its first-token target. While requests of its
/// workspace are refused, a new one is queued only if it need not wait longer
/// than a large prompt with the same target could. Otherwise small prompts,
/// which can wait longer, fill the queue to a length at which all large ones
/// are refused. Not thread-safe.
class WaitLimit {
public:
  /// A prompt that can't be read within the target may take its reading time
  /// plus this to the first token.
  static constexpr Duration LargePromptSlack = std::chrono::milliseconds(250);
  /// Weight of the newest reading time in the moving mean. The last hundred
  /// count most.
  static constexpr double Smoothing = 0.01;
  /// Reading time of a large prompt, relative to the mean. By computation, one
  /// in forty of the sizes in load_replay.h is larger.
  static constexpr double LargePrompt = 4.0;
  /// Share of the target for which a new request may always wait.
  static constexpr double MinShare = 0.2;
  /// Targets whose mean is kept; requests with others have no shared limit.
  static constexpr std::size_t MaxTargets = 64;

  /// Records the reading time of an offered request.
  void observe(Duration Target, Duration Reading);
  /// Longest time from the arrival to the first token.
  [[nodiscard]] static Duration firstToken(Duration Target, Duration Reading);
  /// The part of firstToken() before the prompt is read.
  [[nodiscard]] static Duration waiting(Duration Target, Duration Reading) {
    return firstToken(Target, Reading) - Reading;
  }
  /// Time by which waiting() exceeds what a large prompt could wait.
  [[nodiscard]] Duration surplus(Duration Target, Duration Reading) const;

private:
  struct Mean {
    double ReadingMs = 0.0;
    double Samples = 0.0;
  };
  std::map<Duration, Mean> m_means; ///< By target.
};

} // namespace nutmegdrift::routing

#endif
