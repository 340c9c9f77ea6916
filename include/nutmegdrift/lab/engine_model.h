// A model engine in virtual time: continuous batching in steps, with a memory
// for shared prompt parts.
#ifndef NUTMEGDRIFT_LAB_ENGINE_MODEL_H
#define NUTMEGDRIFT_LAB_ENGINE_MODEL_H

#include "nutmegdrift/routing/engine_estimate.h"

#include <deque>
#include <optional>
#include <vector>

namespace nutmegdrift::lab {

using routing::RequestKey;

/// Speed and size of an engine. The defaults are of no particular machine.
struct EngineTraits {
  unsigned Slots = 32;
  std::uint64_t KvTokens = 300000;
  double PromptTokensPerMs = 50.0;
  std::uint32_t ChunkTokens = 2048; ///< Prompt tokens read in one step at most.
  Duration Step = std::chrono::milliseconds(4);
  Duration StepPerRequest = std::chrono::microseconds(10);

  friend bool operator==(const EngineTraits &, const EngineTraits &) = default;
};

/// What a step brought for one request.
struct EngineProgress {
  RequestKey Key = 0;
  bool First = false; ///< Its first token came.
  bool Done = false;  ///< Its last token came.

  friend bool operator==(const EngineProgress &,
                         const EngineProgress &) = default;
};

/// Requests beyond the slots or the memory wait in the order of arrival. In
/// each step prompts are read, in order, up to ChunkTokens, and every request
/// whose prompt is read gets one token.
class EngineModel {
public:
  explicit EngineModel(EngineTraits Traits) : m_traits(Traits) {}

  void submit(RequestKey Key, routing::SharedPrefix Prefix,
              std::uint32_t PromptTokens, std::uint32_t OutputTokens,
              TimePoint Now);
  /// The caller left; unknown keys are ignored.
  void cancel(RequestKey Key);
  /// The engine crashes: it returns its requests and forgets everything.
  std::vector<RequestKey> crash();

  /// End of the step under way; nothing while the engine is idle.
  [[nodiscard]] std::optional<TimePoint> stepEnds() const { return m_stepEnds; }
  /// Ends the step and begins the next one, if there is work.
  std::vector<EngineProgress> endStep();

  [[nodiscard]] std::size_t requests() const {
    return m_waiting.size() + m_running.size();
  }
  /// Prompt tokens read so far.
  [[nodiscard]] std::uint64_t tokensRead() const { return m_tokensRead; }

private:
  struct Job {
    RequestKey Key;
    routing::SharedPrefix Prefix;
    std::uint32_t PromptTokens;
    std::uint32_t PromptLeft;
    std::uint32_t OutputLeft;
    bool Begun = false; ///< Its first token came.
    std::uint64_t held() const {
      return std::uint64_t{PromptTokens} + OutputLeft;
    }
  };

  void admit();
  void beginStep(TimePoint Now);

  const EngineTraits m_traits;
  std::deque<Job> m_waiting;
  std::deque<Job> m_running; ///< In the order of admission.
  std::uint64_t m_held = 0;  ///< Tokens of m_running.
  routing::PrefixMemory m_memory;
  std::optional<TimePoint> m_stepEnds;
  std::uint64_t m_tokensRead = 0;
};

} // namespace nutmegdrift::lab

#endif
