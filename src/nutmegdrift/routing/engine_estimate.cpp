// Predicts the prompt backlog of an engine and models its prefix cache.
#include "nutmegdrift/routing/engine_estimate.h"

#include "nutmegdrift/base/identifiers.h"

#include <algorithm>

namespace nutmegdrift::routing {

namespace {

double toMs(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

/// Time from the end of reading to the first event on an engine that has no
/// other prompt to read.
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
  std::uint32_t Cached = 0;
  for (const SharedPrefix::Level &Level : Prefix.levels()) {
    if (!m_parts.contains(Level.Chain))
      break;
    Cached += Level.Tokens;
  }
  return Cached;
}

std::uint32_t PrefixMemory::readTokens(const SharedPrefix &Prefix) const {
  std::uint32_t Read = 0;
  for (const SharedPrefix::Level &Level : Prefix.levels()) {
    const auto Entry = m_parts.find(Level.Chain);
    if (Entry == m_parts.end() || !Entry->second.Read)
      break;
    Read += Level.Tokens;
  }
  return Read;
}

void PrefixMemory::markRead(const SharedPrefix &Prefix) {
  for (const SharedPrefix::Level &Level : Prefix.levels())
    if (const auto Entry = m_parts.find(Level.Chain); Entry != m_parts.end())
      Entry->second.Read = true;
}

void PrefixMemory::markUsed(const SharedPrefix &Prefix) {
  // In reverse order, so that later parts are evicted before earlier ones.
  const auto &Levels = Prefix.levels();
  for (auto Level = Levels.rbegin(); Level != Levels.rend(); ++Level) {
    const auto Entry = m_parts.find(Level->Chain);
    if (Entry != m_parts.end()) {
      m_chainsByUse.splice(m_chainsByUse.begin(), m_chainsByUse,
                           Entry->second.LastUse);
      continue;
    }
    m_chainsByUse.push_front(Level->Chain);
    m_parts.emplace(Level->Chain, Part{.Tokens = Level->Tokens,
                                       .LastUse = m_chainsByUse.begin()});
    m_tokens += Level->Tokens;
  }
}

void PrefixMemory::evictTo(std::uint64_t Room) {
  while (m_tokens > Room && !m_chainsByUse.empty()) {
    const auto LeastRecent = m_parts.find(m_chainsByUse.back());
    m_tokens -= LeastRecent->second.Tokens;
    m_parts.erase(LeastRecent);
    m_chainsByUse.pop_back();
  }
}

EngineEstimate::EngineEstimate(EngineTraits Traits, double InitialTokensPerMs)
    : m_traits(Traits), m_rate(InitialTokensPerMs) {}

void EngineEstimate::placed(RequestKey Key, const SharedPrefix &Prefix,
                            std::uint32_t PromptTokens,
                            std::uint32_t OutputTokens, TimePoint Now,
                            std::uint32_t Fetched, Duration ReportDelay) {
  const std::uint32_t CachedOrFetched =
      std::min(cachedTokens(Prefix) + Fetched, PromptTokens);
  const std::uint32_t ToRead = PromptTokens - CachedOrFetched;
  m_readingAllowance -= timeToRead(ToRead);
  addWaiting(Key, ToRead, Now, ReportDelay);
  addRequest(Key, Prefix, std::uint64_t{PromptTokens} + OutputTokens, true,
             Now);
}

void EngineEstimate::takenOver(RequestKey Key, const SharedPrefix &Prefix,
                               std::uint32_t PromptTokens,
                               std::uint32_t OutputTokens, bool Started,
                               TimePoint Now, Duration ReportDelay) {
  if (!Started)
    addWaiting(Key, PromptTokens - std::min(cachedTokens(Prefix), PromptTokens),
               Now, ReportDelay);
  addRequest(Key, Prefix, std::uint64_t{PromptTokens} + OutputTokens, false,
             Now);
  if (Started)
    m_memory.markRead(Prefix);
}

void EngineEstimate::addWaiting(RequestKey Key, std::uint32_t Tokens,
                                TimePoint Now, Duration ReportDelay) {
  if (m_waiting.empty())
    m_busySince = Now;
  m_waiting.push_back({.Key = Key,
                       .Tokens = Tokens,
                       .Placed = Now,
                       .PredictedReading = backlog(Now) + timeToRead(Tokens),
                       .ReportDelay = ReportDelay});
}

void EngineEstimate::addRequest(RequestKey Key, const SharedPrefix &Prefix,
                                std::uint64_t Tokens, bool KnownStart,
                                TimePoint Now) {
  m_requests[Key] = {.Tokens = Tokens,
                     .Placed = Now,
                     .Prefix = Prefix,
                     .KnownStart = KnownStart};
  m_heldTokens += Tokens;
  m_memory.markUsed(Prefix);
  evict();
}

void EngineEstimate::started(RequestKey Key, TimePoint Now,
                             std::optional<Duration> AtEngine) {
  const auto Prompt = std::find_if(
      m_waiting.begin(), m_waiting.end(),
      [&](const WaitingPrompt &Entry) { return Entry.Key == Key; });
  if (Prompt == m_waiting.end())
    return;
  const TimePoint StartedAt =
      AtEngine ? std::min(Prompt->Placed + *AtEngine, Now)
               : std::max(Now - Prompt->ReportDelay, Prompt->Placed);
  learnOverhead(*Prompt, StartedAt);
  if (const auto Placement = m_requests.find(Key);
      Placement != m_requests.end())
    m_memory.markRead(Placement->second.Prefix);
  m_busyTokens += Prompt->Tokens;
  m_lastStarted = std::max(m_lastStarted, StartedAt);
  // Prompts are read in the order of arrival, so earlier ones are read too.
  for (auto Earlier = m_waiting.begin(); Earlier != Prompt; ++Earlier) {
    m_busyTokens += Earlier->Tokens;
    Earlier->Tokens = 0;
  }
  m_waiting.erase(Prompt);
  learnRate(StartedAt);
}

void EngineEstimate::learnOverhead(const WaitingPrompt &Started,
                                   TimePoint Now) {
  const double MeasuredOverhead =
      std::max(toMs(Now - Started.Placed - Started.PredictedReading), 0.0);
  m_overhead +=
      fromMs(OverheadSmoothing * (MeasuredOverhead - toMs(m_overhead)));
}

void EngineEstimate::learnRate(TimePoint Now) {
  Now = std::max(Now, m_busySince);
  Duration Busy = m_busyTime + (Now - m_busySince);
  if (m_waiting.empty()) {
    // The engine did not read while it produced the last prompt's first event.
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
  const auto Placement = m_requests.find(Key);
  if (Placement == m_requests.end())
    return;
  m_heldTokens -= Placement->second.Tokens;
  if (Placement->second.KnownStart)
    m_meanResidenceTime += std::chrono::duration_cast<Duration>(
        ResidenceSmoothing *
        (Now - Placement->second.Placed - m_meanResidenceTime));
  m_requests.erase(Placement);
  const auto Prompt = std::find_if(
      m_waiting.begin(), m_waiting.end(),
      [&](const WaitingPrompt &Entry) { return Entry.Key == Key; });
  if (Prompt == m_waiting.end())
    return;
  if (Prompt == m_waiting.begin())
    m_lastStarted = Now;
  m_waiting.erase(Prompt);
  if (m_waiting.empty())
    m_busyTime += Now - m_busySince;
}

TimePoint EngineEstimate::headReadingStart() const {
  return std::max(m_waiting.front().Placed, m_lastStarted);
}

Duration EngineEstimate::backlog(TimePoint Now) const {
  if (m_waiting.empty())
    return Duration{0};
  const Duration Head = timeToRead(m_waiting.front().Tokens);
  const Duration Elapsed = Now - headReadingStart();
  Duration Sum = std::max(Head - Elapsed, Duration{0});
  for (std::size_t I = 1; I < m_waiting.size(); ++I)
    Sum += timeToRead(m_waiting[I].Tokens);
  // The engine continues with the next prompts while the report is delayed.
  const Duration ReadSince =
      std::clamp(Elapsed - Head, Duration{0}, m_waiting.front().ReportDelay);
  return std::max(Sum - ReadSince, Duration{0});
}

Duration EngineEstimate::overdue(TimePoint Now) const {
  if (m_waiting.empty())
    return Duration{0};
  const Duration Predicted = timeToRead(m_waiting.front().Tokens) + m_overhead +
                             m_waiting.front().ReportDelay;
  return std::max(Now - headReadingStart() - Predicted, Duration{0});
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
