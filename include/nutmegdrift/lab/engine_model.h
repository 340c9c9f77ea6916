// Emulates a model engine in virtual time: continuous batching in steps, with
// a cache of shared prompt parts.
#ifndef NUTMEGDRIFT_LAB_ENGINE_MODEL_H
#define NUTMEGDRIFT_LAB_ENGINE_MODEL_H

#include "nutmegdrift/routing/engine_estimate.h"

#include <deque>
#include <optional>
#include <vector>

namespace nutmegdrift::lab {

using routing::RequestKey;

/// Speed and size of an engine. The defaults describe no particular machine.
struct EngineTraits {
  unsigned Slots = 32;
  /// Memory for running requests and, in what they leave, for the cache.
  std::uint64_t KvTokens = 300000;
  double PromptTokensPerMs = 50.0;
  std::uint32_t ChunkTokens = 2048; ///< Most prompt tokens read in one step.
  /// Duration of a step without the time to read prompts.
  Duration Step = std::chrono::milliseconds(4);
  Duration StepPerRequest = std::chrono::microseconds(10); ///< Added to Step.

  friend bool operator==(const EngineTraits &, const EngineTraits &) = default;
};

/// The progress of one request in a step.
struct EngineProgress {
  RequestKey Key = 0;
  bool FirstToken = false; ///< The step produced its first token.
  bool LastToken = false;  ///< The step produced its last token.

  friend bool operator==(const EngineProgress &,
                         const EngineProgress &) = default;
};

/// One engine. Requests beyond Slots or KvTokens wait in the order of arrival.
/// Each step reads up to ChunkTokens of the prompts, in order, and produces one
/// token for every request whose prompt has been read.
class EngineModel {
public:
  explicit EngineModel(EngineTraits Traits) : m_traits(Traits) {}

  void submit(RequestKey Key, routing::SharedPrefix Prefix,
              std::uint32_t PromptTokens, std::uint32_t OutputTokens,
              TimePoint Now);
  /// Removes the request of a disconnected caller; unknown keys are ignored.
  void cancel(RequestKey Key);
  /// Simulates a crash: clears the state and returns the lost requests.
  std::vector<RequestKey> crash();

  /// End of the current step; absent while the engine is idle.
  [[nodiscard]] std::optional<TimePoint> stepEnd() const { return m_stepEnd; }
  /// Completes the step and begins the next one if there are requests.
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
    std::uint32_t RemainingPrompt;
    std::uint32_t RemainingOutput;
    bool Started = false; ///< Its first token has been produced.
    std::uint64_t heldTokens() const {
      return std::uint64_t{PromptTokens} + RemainingOutput;
    }
  };

  void admit();
  void beginStep(TimePoint Now);

  const EngineTraits m_traits;
  std::deque<Job> m_waiting;
  std::deque<Job> m_running;      ///< In the order of admission.
  std::uint64_t m_heldTokens = 0; ///< Tokens of m_running.
  routing::PrefixMemory m_memory;
  std::optional<TimePoint> m_stepEnd;
  std::uint64_t m_tokensRead = 0;
};

} // namespace nutmegdrift::lab

#endif
