// The order of readers and the choice of a daemon's watches.
#include "nutmegdrift/policy/store_readers.h"

namespace nutmegdrift::policy {

std::string_view toString(StoreContact Contact) {
  switch (Contact) {
  case StoreContact::Late:
    return "late";
  case StoreContact::Current:
    return "current";
  case StoreContact::Lost:
    return "lost";
  }
  return "lost";
}

std::string_view toString(ReaderRole::Reason Reason) {
  switch (Reason) {
  case ReaderRole::Reason::JustStarted:
    return "just started";
  case ReaderRole::Reason::FirstInOrder:
    return "first in order";
  case ReaderRole::Reason::NoKnownReader:
    return "no known reader";
  case ReaderRole::Reason::OtherReader:
    return "another daemon reads";
  case ReaderRole::Reason::NotFirst:
    return "not first";
  }
  return "not first";
}

void StoreReach::callEnded(bool Answered, TimePoint Now) {
  if (Answered) {
    m_failures = 0;
    return;
  }
  if (m_failures++ == 0)
    m_firstFailure = Now;
}

bool StoreReach::lost(TimePoint Now) const {
  return m_failures >= FailuresUntilLost && Now - m_firstFailure >= MinLossTime;
}

void ReaderRole::heardEarlier(StoreContact Contact, TimePoint Now) {
  if (Contact == StoreContact::Current)
    m_readerHeard = Now;
}

ReaderRole::Decision ReaderRole::decide(std::size_t Rank, TimePoint Now) {
  if (Rank >= Readers)
    m_firstSince.reset();
  else if (!m_firstSince)
    m_firstSince = Now;
  if (Now - m_started < DiscoveryTime)
    return {.Current = false, .Because = Reason::JustStarted};
  if (m_firstSince && Now - *m_firstSince >= PromotionDelay)
    return {.Current = true, .Because = Reason::FirstInOrder};
  if (!m_confirmed || Now - *m_confirmed >= ReadTimeAfterConfirm)
    return {.Current = false, .Because = Reason::NotFirst};
  if (m_readerHeard && Now - *m_readerHeard < ReaderTimeout)
    return {.Current = false, .Because = Reason::OtherReader};
  return {.Current = true, .Because = Reason::NoKnownReader};
}

} // namespace nutmegdrift::policy
