// What a dispatcher believes of one model engine: the prompts it still has to
// read, the requests it runs, and the prompt parts in its memory.
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

/// One part of a prompt; requests with the same first parts share them.
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

/// The shared prompt parts in an engine's memory, the latest used kept longest.
class PrefixMemory {
public:
  /// Tokens at the front of the prompt that need not be read again.
  [[nodiscard]] std::uint32_t cachedTokens(const SharedPrefix &Prefix) const;
  /// Of these, tokens that have been read: those at the front of the prompt up
  /// to the first part that is still to be read.
  [[nodiscard]] std::uint32_t readTokens(const SharedPrefix &Prefix) const;
  /// The parts are used, or will be when they are read.
  void markUsed(const SharedPrefix &Prefix);
  void markRead(const SharedPrefix &Prefix);
  /// Forgets the parts used longest ago until all fit into Room tokens.
  void evictTo(std::uint64_t Room);

private:
  struct Part {
    std::uint32_t Tokens;
    std::list<std::uint64_t>::iterator Use;
    bool Read = false;
  };

  std::unordered_map<std::uint64_t, Part> m_parts; ///< By chain.
  std::list<std::uint64_t> m_uses; ///< Chains, the latest used first.
  std::uint64_t m_tokens = 0;      ///< Sum over m_parts.
};

/// Number of one request, unique within a dispatcher.
using RequestKey = std::uint64_t;

/// The estimate of one engine. All times are predictions; reports of started
/// and ended requests correct them. Not thread-safe.
class EngineEstimate {
public:
  /// Prompt tokens read in a millisecond, until learned.
  static constexpr double InitialRate = 50.0;
  /// Bounds on what is believed of the rate.
  static constexpr double MinRate = 3.0;
  static constexpr double MaxRate = 1000.0;
  /// Time of reading that makes one sample of the rate. Prompts overlap, so
  /// single ones say little.
  static constexpr Duration RateSampleTime = std::chrono::milliseconds(250);
  static constexpr double RateSmoothing = 0.2;
  /// Time from the end of the prompt to the first event, until learned. An
  /// event holds several tokens, so it grows with the engine's load.
  static constexpr Duration InitialOverhead = std::chrono::milliseconds(40);
  static constexpr double OverheadSmoothing = 0.1;
  /// Mean stay of a request, until learned.
  static constexpr Duration InitialResidenceTime =
      std::chrono::milliseconds(1000);
  static constexpr double ResidenceSmoothing = 0.05;
  /// Reading that may be placed at once on an engine that was idle.
  static constexpr Duration ReadingBurst = std::chrono::milliseconds(300);

  EngineEstimate(EngineTraits Traits, double InitialTokensPerMs);

  /// Fetched: shared tokens that come from another engine's memory.
  /// ReportDelay: see ModelRequest.
  void placed(RequestKey Key, const SharedPrefix &Prefix,
              std::uint32_t PromptTokens, std::uint32_t OutputTokens,
              TimePoint Now, std::uint32_t Fetched = 0,
              Duration ReportDelay = Duration{0});
  /// The request's first event came.
  /// AtEngine: see ModelDispatcher; without it the expected delay of the report
  /// is taken off.
  void started(RequestKey Key, TimePoint Now,
               std::optional<Duration> AtEngine = std::nullopt);
  /// The request is no longer at the engine.
  void ended(RequestKey Key, TimePoint Now);
  /// Lets the allowance for reading grow by Duty of the time passed. An engine
  /// that only reads prompts makes hardly any output, and the requests that run
  /// miss their deadlines.
  void refillReading(double Duty, TimePoint Now);

  /// Time until the engine has read all prompts placed so far.
  [[nodiscard]] Duration backlog(TimePoint Now) const;
  /// How much longer than predicted the oldest waiting prompt takes.
  [[nodiscard]] Duration overdue(TimePoint Now) const;
  /// Whether the allowance for reading is used up.
  [[nodiscard]] bool readingAllowanceSpent() const {
    return m_readingAllowance <= Duration{0};
  }
  [[nodiscard]] std::uint32_t cachedTokens(const SharedPrefix &Prefix) const;
  /// Of these, tokens that other engines may fetch.
  [[nodiscard]] std::uint32_t readTokens(const SharedPrefix &Prefix) const {
    return m_memory.readTokens(Prefix);
  }
  [[nodiscard]] Duration timeToRead(std::uint32_t Tokens) const;
  [[nodiscard]] Duration overhead() const { return m_overhead; }
  /// Mean time that a request is at the engine.
  [[nodiscard]] Duration meanResidenceTime() const {
    return m_meanResidenceTime;
  }
  [[nodiscard]] double tokensPerMs() const { return m_rate; }
  [[nodiscard]] std::size_t requests() const { return m_requests.size(); }
  [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }
  /// Tokens that the requests at the engine hold or will hold.
  [[nodiscard]] std::uint64_t heldTokens() const { return m_heldTokens; }
  [[nodiscard]] const EngineTraits &traits() const { return m_traits; }

private:
  struct Waiting {
    RequestKey Key;
    std::uint32_t Tokens; ///< Still to be read when it was placed.
    TimePoint Placed;
    Duration Predicted; ///< From placing to the end of its prompt.
    Duration ReportDelay;
  };
  [[nodiscard]] TimePoint headBegan() const;
  void learnOverhead(const Waiting &Done, TimePoint Now);
  void learnRate(TimePoint Now);
  void evict();

  const EngineTraits m_traits;
  double m_rate;
  Duration m_overhead = InitialOverhead;
  std::deque<Waiting> m_waiting; ///< In the order of placing.
  TimePoint m_lastStart{};
  // Reading since the last sample of the rate.
  TimePoint m_busySince{}; ///< Valid while m_waiting is not empty.
  Duration m_busyTime{0};  ///< Of ended busy periods.
  std::uint64_t m_busyTokens = 0;
  Duration m_readingAllowance = ReadingBurst;
  TimePoint m_readingRefilled{};
  struct Present {
    std::uint64_t Tokens;
    TimePoint Placed;
    SharedPrefix Prefix;
  };
  std::unordered_map<RequestKey, Present> m_requests;
  Duration m_meanResidenceTime = InitialResidenceTime;
  std::uint64_t m_heldTokens = 0; ///< Sum over m_requests.
  PrefixMemory m_memory;
};

} // namespace nutmegdrift::routing

#endif
