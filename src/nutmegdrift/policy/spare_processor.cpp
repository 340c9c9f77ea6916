// Changes between calm and overloaded, with hysteresis.
#include "nutmegdrift/policy/spare_processor.h"

namespace nutmegdrift::policy {

void SpareProcessor::observe(Duration Used, TimePoint Now) {
  const auto Last = m_lastSample;
  const Duration Spent = Used - m_lastUsed;
  if (Last && Now <= *Last)
    return;
  m_lastSample = Now;
  m_lastUsed = Used;
  if (!Last)
    return;
  const double Use = std::chrono::duration<double>(Spent) /
                     std::chrono::duration<double>(Now - *Last) / m_share;
  const bool Beyond = m_overloaded ? Use < CalmBelow : Use > BusyAbove;
  if (!Beyond) {
    m_beyondSince.reset();
    return;
  }
  if (!m_beyondSince)
    m_beyondSince = *Last;
  if (Now - *m_beyondSince < (m_overloaded ? CalmFor : BusyFor))
    return;
  m_overloaded = !m_overloaded;
  m_beyondSince.reset();
}

} // namespace nutmegdrift::policy
