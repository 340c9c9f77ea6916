// Predictions of one engine's prompt backlog, and a model of its prefix cache.
#include "nutmegdrift/routing/engine_estimate.h"

#include "nutmegdrift/base/identifiers.h"

#include <algorithm>

namespace nutmegdrift::routing {

namespace {

double toMs(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

/// From the end of a prompt to its first event on an engine that reads no other
/// prompt.
constexpr Duration FirstEventTime = std::chrono::milliseconds(20);

Duration fromMs(double Millis) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Millis));
}

} // namespace

SharedPrefix::SharedPrefix(const std::vector<PromptPart> &Prompt) {
  std::uint64_t Chain = 0;
  for (std::size_t I = 0; I + 1 < Prompt.size(); ++I) {
    const PromptPart &Part = Prompt[I];
    Chain = hashText(
        {reinterpret_cast<const char *>(&Part.Id), sizeof(Part.Id)}, Chain);
    m_levels.push_back({.Chain = Chain, .Tokens = Part.Tokens});
    m_tokens += Part.Tokens;
  }
}

std::uint32_t PrefixMemory::cachedTokens(const SharedPrefix &Prefix) const {
  std::uint32_t Known = 0;
  for (const SharedPrefix::Level &Level : Prefix.levels()) {
    if (!m_parts.contains(Level.Chain))
      break;
    Known += Level.Tokens;
  }
  return Known;
}

std::uint32_t PrefixMemory::readTokens(const SharedPrefix &Prefix) const {
  std::uint32_t Read = 0;
  for (const SharedPrefix::Level &Level : Prefix.levels()) {
    const auto Found = m_parts.find(Level.Chain);
    if (Found == m_parts.end() || !Found->second.Read)
      break;
    Read += Level.Tokens;
  }
  return Read;
}

void PrefixMemory::markRead(const SharedPrefix &Prefix) {
  for (const SharedPrefix::Level &Level : Prefix.levels())
    if (const auto Found = m_parts.find(Level.Chain); Found != m_parts.end())
      Found->second.Read = true;
}

void PrefixMemory::markUsed(const SharedPrefix &Prefix) {
  // Later parts are used last, so that they are evicted first.
  const auto &Levels = Prefix.levels();
  for (auto Level = Levels.rbegin(); Level != Levels.rend(); ++Level) {
    const auto Found = m_parts.find(Level->Chain);
    if (Found != m_parts.end()) {
      m_uses.splice(m_uses.begin(), m_uses, Found->second.Use);
      continue;
    }
    m_uses.push_front(Level->Chain);
    m_parts.emplace(Level->Chain,
                    Part{.Tokens = Level->Tokens, .Use = m_uses.begin()});
    m_tokens += Level->Tokens;
  }
}

void PrefixMemory::evictTo(std::uint64_t Room) {
  while (m_tokens > Room && !m_uses.empty()) {
    const auto Oldest = m_parts.find(m_uses.back());
    m_tokens -= Oldest->second.Tokens;
    m_parts.erase(Oldest);
    m_uses.pop_back();
  }
}

EngineEstimate::EngineEstimate(EngineTraits Traits, double InitialTokensPerMs)
    : m_traits(Traits), m_rate(InitialTokensPerMs) {}

void EngineEstimate::placed(RequestKey Key, const SharedPrefix &Prefix,
                            std::uint32_t PromptTokens,
                            std::uint32_t OutputTokens, TimePoint Now,
                            std::uint32_t Fetched, Duration ReportDelay) {
  const std::uint32_t Known =
      std::min(cachedTokens(Prefix) + Fetched, PromptTokens);
  const Duration Reading = timeToRead(PromptTokens - Known);
  m_readingAllowance -= Reading;
  if (m_waiting.empty())
    m_busySince = Now;
  m_waiting.push_back({.Key = Key,
                       .Tokens = PromptTokens - Known,
                       .Placed = Now,
                       .Predicted = backlog(Now) + Reading,
                       .ReportDelay = ReportDelay});
  const std::uint64_t Held = std::uint64_t{PromptTokens} + OutputTokens;
  m_requests[Key] = {.Tokens = Held, .Placed = Now, .Prefix = Prefix};
  m_heldTokens += Held;
  m_memory.markUsed(Prefix);
  evict();
}

void EngineEstimate::started(RequestKey Key, TimePoint Now,
                             std::optional<Duration> AtEngine) {
  const auto Found =
      std::find_if(m_waiting.begin(), m_waiting.end(),
                   [&](const Waiting &Each) { return Each.Key == Key; });
  if (Found == m_waiting.end())
    return;
  const TimePoint At = AtEngine
                           ? std::min(Found->Placed + *AtEngine, Now)
                           : std::max(Now - Found->ReportDelay, Found->Placed);
  learnOverhead(*Found, At);
  if (const auto Present = m_requests.find(Key); Present != m_requests.end())
    m_memory.markRead(Present->second.Prefix);
  m_busyTokens += Found->Tokens;
  m_lastStart = std::max(m_lastStart, At);
  // Prompts are read in order of arrival, so those before it are read too.
  for (auto Before = m_waiting.begin(); Before != Found; ++Before) {
    m_busyTokens += Before->Tokens;
    Before->Tokens = 0;
  }
  m_waiting.erase(Found);
  learnRate(At);
}

void EngineEstimate::learnOverhead(const Waiting &Done, TimePoint Now) {
  const double Late = std::max(toMs(Now - Done.Placed - Done.Predicted), 0.0);
  m_overhead += fromMs(OverheadSmoothing * (Late - toMs(m_overhead)));
}

void EngineEstimate::learnRate(TimePoint Now) {
  Now = std::max(Now, m_busySince);
  Duration Busy = m_busyTime + (Now - m_busySince);
  if (m_waiting.empty()) {
    // The engine made the first event of the last prompt without reading.
    Busy -= std::min(Busy, FirstEventTime);
    m_busyTime = Busy;
    m_busySince = Now;
  }
  if (Busy < RateSampleTime)
    return;
  const double Sample = static_cast<double>(m_busyTokens) / toMs(Busy);
  m_rate += RateSmoothing * (std::clamp(Sample, MinRate, MaxRate) - m_rate);
  m_busyTime = Duration{0};
  m_busySince = Now;
  m_busyTokens = 0;
}

void EngineEstimate::refillReading(double Duty, TimePoint Now) {
  if (m_readingRefilled != TimePoint{})
    m_readingAllowance = std::min(
        m_readingAllowance + fromMs(Duty * toMs(Now - m_readingRefilled)),
        ReadingBurst);
  m_readingRefilled = Now;
}

void EngineEstimate::ended(RequestKey Key, TimePoint Now) {
  const auto Held = m_requests.find(Key);
  if (Held == m_requests.end())
    return;
  m_heldTokens -= Held->second.Tokens;
  m_meanResidenceTime += std::chrono::duration_cast<Duration>(
      ResidenceSmoothing * (Now - Held->second.Placed - m_meanResidenceTime));
  m_requests.erase(Held);
  const auto Found =
      std::find_if(m_waiting.begin(), m_waiting.end(),
                   [&](const Waiting &Each) { return Each.Key == Key; });
  if (Found == m_waiting.end())
    return;
  if (Found == m_waiting.begin())
    m_lastStart = Now;
  m_waiting.erase(Found);
  if (m_waiting.empty())
    m_busyTime += Now - m_busySince;
}

TimePoint EngineEstimate::headBegan() const {
  return std::max(m_waiting.front().Placed, m_lastStart);
}

Duration EngineEstimate::backlog(TimePoint Now) const {
  if (m_waiting.empty())
    return Duration{0};
  const Duration Head = timeToRead(m_waiting.front().Tokens);
  const Duration Elapsed = Now - headBegan();
  Duration Sum = std::max(Head - Elapsed, Duration{0});
  for (std::size_t I = 1; I < m_waiting.size(); ++I)
    Sum += timeToRead(m_waiting[I].Tokens);
  // While a late report is on its way the engine reads on.
  const Duration ReadOn =
      std::clamp(Elapsed - Head, Duration{0}, m_waiting.front().ReportDelay);
  return std::max(Sum - ReadOn, Duration{0});
}

Duration EngineEstimate::overdue(TimePoint Now) const {
  if (m_waiting.empty())
    return Duration{0};
  const Duration Predicted = timeToRead(m_waiting.front().Tokens) + m_overhead +
                             m_waiting.front().ReportDelay;
  return std::max(Now - headBegan() - Predicted, Duration{0});
}

std::uint32_t EngineEstimate::cachedTokens(const SharedPrefix &Prefix) const {
  return m_memory.cachedTokens(Prefix);
}

Duration EngineEstimate::timeToRead(std::uint32_t Tokens) const {
  return fromMs(static_cast<double>(Tokens) / m_rate);
}

void EngineEstimate::evict() {
  m_memory.evictTo(
      m_traits.KvTokens > m_heldTokens ? m_traits.KvTokens - m_heldTokens : 0);
}

} // namespace nutmegdrift::routing
