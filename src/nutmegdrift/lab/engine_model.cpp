// Admission and steps of the emulated engine.
#include "nutmegdrift/lab/engine_model.h"

#include <algorithm>
#include <utility>

namespace nutmegdrift::lab {

void EngineModel::submit(RequestKey Key, routing::SharedPrefix Prefix,
                         std::uint32_t PromptTokens, std::uint32_t OutputTokens,
                         TimePoint Now) {
  m_waiting.push_back({.Key = Key,
                       .Prefix = std::move(Prefix),
                       .PromptTokens = PromptTokens,
                       .RemainingPrompt = PromptTokens,
                       .RemainingOutput = std::max(OutputTokens, 1U)});
  if (!m_stepEnd)
    beginStep(Now);
}

void EngineModel::cancel(RequestKey Key) {
  std::erase_if(m_waiting, [&](const Job &Entry) { return Entry.Key == Key; });
  std::erase_if(m_running, [&](const Job &Entry) {
    if (Entry.Key != Key)
      return false;
    m_heldTokens -= Entry.heldTokens();
    return true;
  });
}

std::vector<RequestKey> EngineModel::crash() {
  std::vector<RequestKey> Lost;
  for (const auto *Jobs : {&m_running, &m_waiting})
    for (const Job &Entry : *Jobs)
      Lost.push_back(Entry.Key);
  m_waiting.clear();
  m_running.clear();
  m_heldTokens = 0;
  m_memory = {};
  m_stepEnd.reset();
  return Lost;
}

void EngineModel::admit() {
  while (!m_waiting.empty() && m_running.size() < m_traits.Slots) {
    Job &Next = m_waiting.front();
    // A request larger than the memory runs alone.
    if (m_heldTokens + Next.heldTokens() > m_traits.KvTokens &&
        !m_running.empty())
      return;
    Next.RemainingPrompt =
        Next.PromptTokens -
        std::min(m_memory.cachedTokens(Next.Prefix), Next.PromptTokens);
    m_heldTokens += Next.heldTokens();
    m_memory.markUsed(Next.Prefix);
    m_memory.evictTo(m_traits.KvTokens -
                     std::min(m_heldTokens, m_traits.KvTokens));
    m_running.push_back(std::move(Next));
    m_waiting.pop_front();
  }
}

void EngineModel::beginStep(TimePoint Now) {
  admit();
  if (m_running.empty()) {
    m_stepEnd.reset();
    return;
  }
  std::uint32_t Chunk = m_traits.ChunkTokens;
  for (Job &Entry : m_running) {
    const std::uint32_t Read = std::min(Entry.RemainingPrompt, Chunk);
    Entry.RemainingPrompt -= Read;
    Chunk -= Read;
    if (Chunk == 0)
      break;
  }
  const std::uint32_t Read = m_traits.ChunkTokens - Chunk;
  m_tokensRead += Read;
  const std::chrono::duration<double, std::milli> Reading(
      Read / m_traits.PromptTokensPerMs);
  m_stepEnd = Now + m_traits.Step + m_traits.StepPerRequest * m_running.size() +
              std::chrono::duration_cast<Duration>(Reading);
}

std::vector<EngineProgress> EngineModel::endStep() {
  std::vector<EngineProgress> Out;
  if (!m_stepEnd)
    return Out;
  for (Job &Entry : m_running) {
    if (Entry.RemainingPrompt > 0)
      continue;
    --Entry.RemainingOutput;
    --m_heldTokens;
    const bool FirstToken = !std::exchange(Entry.Started, true);
    if (FirstToken || Entry.RemainingOutput == 0)
      Out.push_back({.Key = Entry.Key,
                     .FirstToken = FirstToken,
                     .LastToken = Entry.RemainingOutput == 0});
  }
  std::erase_if(m_running, [&](const Job &Entry) {
    if (Entry.RemainingOutput > 0)
      return false;
    m_heldTokens -= Entry.heldTokens();
    return true;
  });
  beginStep(*m_stepEnd);
  return Out;
}

} // namespace nutmegdrift::lab
