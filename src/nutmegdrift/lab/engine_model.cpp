// Steps of the engine model.
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
                       .PromptLeft = PromptTokens,
                       .OutputLeft = std::max(OutputTokens, 1U)});
  if (!m_stepEnds)
    beginStep(Now);
}

void EngineModel::cancel(RequestKey Key) {
  std::erase_if(m_waiting, [&](const Job &Each) { return Each.Key == Key; });
  std::erase_if(m_running, [&](const Job &Each) {
    if (Each.Key != Key)
      return false;
    m_held -= Each.held();
    return true;
  });
}

std::vector<RequestKey> EngineModel::crash() {
  std::vector<RequestKey> Lost;
  for (const auto *Jobs : {&m_running, &m_waiting})
    for (const Job &Each : *Jobs)
      Lost.push_back(Each.Key);
  m_waiting.clear();
  m_running.clear();
  m_held = 0;
  m_memory = {};
  m_stepEnds.reset();
  return Lost;
}

void EngineModel::admit() {
  while (!m_waiting.empty() && m_running.size() < m_traits.Slots) {
    Job &Next = m_waiting.front();
    // A request larger than the memory runs alone.
    if (m_held + Next.held() > m_traits.KvTokens && !m_running.empty())
      return;
    Next.PromptLeft =
        Next.PromptTokens -
        std::min(m_memory.cachedTokens(Next.Prefix), Next.PromptTokens);
    m_held += Next.held();
    m_memory.markUsed(Next.Prefix);
    m_memory.evictTo(m_traits.KvTokens - std::min(m_held, m_traits.KvTokens));
    m_running.push_back(std::move(Next));
    m_waiting.pop_front();
  }
}

void EngineModel::beginStep(TimePoint Now) {
  admit();
  if (m_running.empty()) {
    m_stepEnds.reset();
    return;
  }
  std::uint32_t Chunk = m_traits.ChunkTokens;
  for (Job &Each : m_running) {
    const std::uint32_t Read = std::min(Each.PromptLeft, Chunk);
    Each.PromptLeft -= Read;
    Chunk -= Read;
    if (Chunk == 0)
      break;
  }
  const std::uint32_t Read = m_traits.ChunkTokens - Chunk;
  m_tokensRead += Read;
  const std::chrono::duration<double, std::milli> Reading(
      Read / m_traits.PromptTokensPerMs);
  m_stepEnds = Now + m_traits.Step +
               m_traits.StepPerRequest * m_running.size() +
               std::chrono::duration_cast<Duration>(Reading);
}

std::vector<EngineProgress> EngineModel::endStep() {
  std::vector<EngineProgress> Out;
  if (!m_stepEnds)
    return Out;
  for (Job &Each : m_running) {
    if (Each.PromptLeft > 0)
      continue;
    --Each.OutputLeft;
    --m_held;
    const bool First = !std::exchange(Each.Begun, true);
    if (First || Each.OutputLeft == 0)
      Out.push_back(
          {.Key = Each.Key, .First = First, .Done = Each.OutputLeft == 0});
  }
  std::erase_if(m_running, [&](const Job &Each) {
    if (Each.OutputLeft > 0)
      return false;
    m_held -= Each.held();
    return true;
  });
  beginStep(*m_stepEnds);
  return Out;
}

} // namespace nutmegdrift::lab
