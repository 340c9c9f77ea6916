// Estimate of one model engine's state: the prompts it still has to read, the
// requests it runs, and the prompt parts it caches.
#ifndef NUTMEGDRIFT_ROUTING_ENGINE_ESTIMATE_H
#define NUTMEGDRIFT_ROUTING_ENGINE_ESTIMATE_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/routing/desired_state.h"

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace nutmegdrift::routing {

/// One part of a prompt. Requests whose prompts begin with the same parts share
/// them.
struct PromptPart {
  std::uint64_t Id = 0;
  std::uint32_t Tokens = 0;

  friend bool operator==(const PromptPart &, const PromptPart &) = default;
};

/// The shared parts of a prompt: all but the last, which belongs to the request
/// or its session.
class SharedPrefix {
public:
  struct Level {
    std::uint64_t Chain = 0;  ///< Hash of this part and all parts before it.
    std::uint32_t Tokens = 0; ///< Of this part.

    friend bool operator==(const Level &, const Level &) = default;
  };

  SharedPrefix() = default;
  explicit SharedPrefix(const std::vector<PromptPart> &Prompt);

  [[nodiscard]] const std::vector<Level> &levels() const { return m_levels; }
  [[nodiscard]] std::uint32_t tokens() const { return m_tokens; }

  friend bool operator==(const SharedPrefix &, const SharedPrefix &) = default;

private:
  std::vector<Level> m_levels;
  std::uint32_t m_tokens = 0;
};

/// The shared prompt parts that an engine caches, evicted in LRU order.
class PrefixMemory {
public:
  /// Tokens at the front of the prompt that need not be read again.
  [[nodiscard]] std::uint32_t cachedTokens(const SharedPrefix &Prefix) const;
  /// The part of cachedTokens() that has been read: the tokens before the first
  /// part that the engine still has to read.
  [[nodiscard]] std::uint32_t readTokens(const SharedPrefix &Prefix) const;
  /// Marks the parts as the most recently used. Adds those that are missing,
  /// which the engine will cache once it has read them.
  void markUsed(const SharedPrefix &Prefix);
  void markRead(const SharedPrefix &Prefix);
  /// Evicts the least recently used parts until all fit into Room tokens.
  void evictTo(std::uint64_t Room);

private:
  struct Part {
    std::uint32_t Tokens;
    std::list<std::uint64_t>::iterator LastUse;
    bool Read = false;
  };

  std::unordered_map<std::uint64_t, Part> m_parts; ///< By chain.
  std::list<std::uint64_t> m_chainsByUse; ///< Most recently used first.
  std::uint64_t m_tokens = 0;             ///< Sum over m_parts.
};

/// Identifies a request; unique within a dispatcher.
using RequestKey = std::uint64_t;

/// Predicts the backlog and speed of one engine. Reports of started and ended
/// requests correct the predictions. Not thread-safe.
class EngineEstimate {
public:
  /// Prompt tokens read per millisecond, before the first sample.
  static constexpr double InitialRate = 50.0;
  /// Bounds of a sample of the rate, in tokens per millisecond.
  static constexpr double MinRate = 3.0;
  static constexpr double MaxRate = 1000.0;
  /// Reading time that one sample of the rate covers. Prompts overlap, so the
  /// time of a single prompt is not a usable sample.
  static constexpr Duration RateSampleTime = std::chrono::milliseconds(250);
  static constexpr double RateSmoothing = 0.2;
  /// Time from the end of reading to the first event, before the first sample.
  /// An event holds several tokens, so the time grows with the engine's load.
  static constexpr Duration InitialOverhead = std::chrono::milliseconds(40);
  static constexpr double OverheadSmoothing = 0.1;
  /// Mean time of a request on the engine, before the first sample.
  static constexpr Duration InitialResidenceTime =
      std::chrono::milliseconds(1000);
  static constexpr double ResidenceSmoothing = 0.05;
  /// Reading time that may be placed at once on an idle engine.
  static constexpr Duration ReadingBurst = std::chrono::milliseconds(300);

  EngineEstimate(EngineTraits Traits, double InitialTokensPerMs);

  /// Records a placement. Fetched: shared tokens copied from another engine.
  /// ReportDelay: see ModelRequest.
  void placed(RequestKey Key, const SharedPrefix &Prefix,
              std::uint32_t PromptTokens, std::uint32_t OutputTokens,
              TimePoint Now, std::uint32_t Fetched = 0,
              Duration ReportDelay = Duration{0});
  /// Records a request that another dispatcher placed, before the role changed.
  /// It takes a slot and memory, but no reading allowance: that of its prompt
  /// was granted by the other dispatcher. Started: the prompt has been read.
  void takenOver(RequestKey Key, const SharedPrefix &Prefix,
                 std::uint32_t PromptTokens, std::uint32_t OutputTokens,
                 bool Started, TimePoint Now,
                 Duration ReportDelay = Duration{0});
  /// Records that the request's first event was reported at Now. AtEngine: see
  /// ModelDispatcher::started(). Without it, the time of the event is Now less
  /// the ReportDelay of the placement.
  void started(RequestKey Key, TimePoint Now,
               std::optional<Duration> AtEngine = std::nullopt);
  /// Records that the request is no longer on the engine.
  void ended(RequestKey Key, TimePoint Now);
  /// Adds Duty times the elapsed time to the reading allowance. The allowance
  /// limits reading, because an engine that only reads prompts produces hardly
  /// any output and its running requests miss their deadlines.
  void refillReading(double Duty, TimePoint Now);

  /// Time until the engine has read all prompts placed so far.
  [[nodiscard]] Duration backlog(TimePoint Now) const;
  /// Time by which the oldest waiting prompt exceeds its prediction.
  [[nodiscard]] Duration overdue(TimePoint Now) const;
  [[nodiscard]] bool readingAllowanceSpent() const {
    return m_readingAllowance <= Duration{0};
  }
  [[nodiscard]] std::uint32_t cachedTokens(const SharedPrefix &Prefix) const;
  /// The part of cachedTokens() that other engines may fetch.
  [[nodiscard]] std::uint32_t readTokens(const SharedPrefix &Prefix) const {
    return m_memory.readTokens(Prefix);
  }
  [[nodiscard]] Duration timeToRead(std::uint32_t Tokens) const;
  [[nodiscard]] Duration overhead() const { return m_overhead; }
  /// Mean time of a request on the engine.
  [[nodiscard]] Duration meanResidenceTime() const {
    return m_meanResidenceTime;
  }
  [[nodiscard]] double tokensPerMs() const { return m_rate; }
  [[nodiscard]] std::size_t requests() const { return m_requests.size(); }
  [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }
  /// Memory, in tokens, that the requests on the engine use or will use.
  [[nodiscard]] std::uint64_t heldTokens() const { return m_heldTokens; }
  [[nodiscard]] const EngineTraits &traits() const { return m_traits; }

private:
  struct WaitingPrompt {
    RequestKey Key;
    std::uint32_t Tokens; ///< To be read, as of the placement.
    TimePoint Placed;
    Duration PredictedReading; ///< From the placement to the end of reading.
    Duration ReportDelay;
  };
  void addRequest(RequestKey Key, const SharedPrefix &Prefix,
                  std::uint64_t Tokens, bool KnownStart, TimePoint Now);
  void addWaiting(RequestKey Key, std::uint32_t Tokens, TimePoint Now,
                  Duration ReportDelay);
  /// Estimates when the engine began to read the first waiting prompt.
  [[nodiscard]] TimePoint headReadingStart() const;
  void learnOverhead(const WaitingPrompt &Started, TimePoint Now);
  void learnRate(TimePoint Now);
  void evict();

  const EngineTraits m_traits;
  double m_rate;
  Duration m_overhead = InitialOverhead;
  std::deque<WaitingPrompt> m_waiting; ///< In the order of placement.
  /// When a request last produced its first event, or ended as the first
  /// waiting one.
  TimePoint m_lastStarted{};
  // Reading since the last sample of the rate was taken.
  TimePoint m_busySince{}; ///< Valid while m_waiting is not empty.
  Duration m_busyTime{0};  ///< Sum of the ended busy periods.
  std::uint64_t m_busyTokens = 0;
  Duration m_readingAllowance = ReadingBurst;
  TimePoint m_readingRefilled{};
  struct PlacedRequest {
    std::uint64_t Tokens;
    TimePoint Placed;
    SharedPrefix Prefix;
    bool KnownStart; ///< False: Placed is only when it was taken over.
  };
  std::unordered_map<RequestKey, PlacedRequest> m_requests;
  Duration m_meanResidenceTime = InitialResidenceTime;
  std::uint64_t m_heldTokens = 0; ///< Sum over m_requests.
  PrefixMemory m_memory;
};

} // namespace nutmegdrift::routing

#endif
