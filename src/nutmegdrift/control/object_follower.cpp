// Lists, watches and the comparison of object versions.
#include "nutmegdrift/control/object_follower.h"

#include <algorithm>
#include <set>

namespace nutmegdrift::control {

ObjectFollower::ObjectFollower(const Clock &Clk, platform::ObjectStore &Store,
                               std::string Prefix, Handler OnChange)
    : m_clock(Clk), m_store(Store), m_prefix(std::move(Prefix)),
      m_onChange(std::move(OnChange)) {}

Result<void> ObjectFollower::step(std::chrono::milliseconds Wait) {
  if (!m_listed || m_clock.now() >= m_nextList)
    BOOST_LEAF_CHECK(list());
  return watch(Wait);
}

Result<void> ObjectFollower::list() {
  BOOST_LEAF_AUTO(Listed, m_store.list(m_prefix));
  for (const auto &Item : Listed.Objects)
    apply({Item, false});
  removeMissing(Listed);
  m_watchFrom = std::max(m_watchFrom, Listed.Revision);
  m_listed = true;
  m_nextList = m_clock.now() + m_relistInterval;
  m_relistInterval = std::min(2 * m_relistInterval, MaxRelistInterval);
  return {};
}

Result<void> ObjectFollower::watch(std::chrono::milliseconds Wait) {
  auto Gap = false;
  auto Watched =
      capture([&] { return m_store.watch(m_prefix, m_watchFrom, Wait); });
  if (!Watched) {
    Gap = Watched.Failure.Kind == ErrorKind::Conflict;
    if (!Gap)
      return fail(Watched.Failure);
    m_listed = false;
    m_relistInterval = MinRelistInterval;
    return {};
  }
  for (const auto &Item : Watched->Items)
    apply(Item);
  m_watchFrom = std::max(m_watchFrom, Watched->Revision);
  return {};
}

void ObjectFollower::apply(const platform::Change &Item) {
  auto &Newest = m_newest[Item.Value.Name];
  if (Item.Value.Version <= Newest.Version)
    return;
  Newest = {Item.Value.Version, Item.Deleted};
  m_onChange(Item);
}

void ObjectFollower::removeMissing(const platform::Listing &Listed) {
  std::set<std::string> Present;
  for (const auto &Item : Listed.Objects)
    Present.insert(Item.Name);
  for (auto &[Name, Newest] : m_newest) {
    if (Newest.Deleted || Newest.Version >= Listed.Revision ||
        Present.contains(Name))
      continue;
    Newest.Deleted = true;
    m_onChange({{Name, Newest.Version, ""}, true});
  }
}

} // namespace nutmegdrift::control
