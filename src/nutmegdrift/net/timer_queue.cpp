// Firing of timers, and the wait for the earliest one.
#include "nutmegdrift/net/timer_queue.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace nutmegdrift::net {

namespace {

/// Asio rounds times to wait up to this.
constexpr Duration WaitGranularity = std::chrono::milliseconds(1);
/// For shorter times the loop only looks for I/O.
constexpr Duration MinWait = std::chrono::microseconds(50);

} // namespace

boost::asio::execution_context::id TimerQueue::id;

TimerQueue::TimerQueue(boost::asio::execution_context &Owner)
    : service(Owner), m_loop(static_cast<boost::asio::io_context &>(Owner)) {}

TimerQueue &TimerQueue::of(boost::asio::io_context &Loop) {
  return boost::asio::use_service<TimerQueue>(Loop);
}

/// Stops the wait of the Asio timer while run() waits itself.
class TimerQueue::RunningScope {
public:
  explicit RunningScope(TimerQueue &Owner) : m_owner(Owner) {
    m_owner.m_running = true;
    m_owner.m_wait.reset();
    m_owner.m_waitsUntil.reset();
  }
  ~RunningScope() {
    m_owner.m_running = false;
    m_owner.m_work.reset();
    m_owner.waitForNext();
  }
  RunningScope(const RunningScope &) = delete;
  RunningScope &operator=(const RunningScope &) = delete;

private:
  TimerQueue &m_owner;
};

void TimerQueue::shutdown() {
  m_shutDown = true;
  m_wait.reset();
  m_work.reset();
  // The callbacks may own timers, which are cancelled meanwhile.
  while (!m_queue.empty())
    cancel(*m_queue.begin());
  destroyDropped();
}

void TimerQueue::add(TimerEntry &Entry, Duration Delay, Duration Slack,
                     std::function<void()> Callback) {
  if (m_shutDown)
    return;
  cancel(Entry);
  const SteadyTime Now = std::chrono::steady_clock::now();
  // Within a year: a longer delay could exceed the clock's range.
  constexpr Duration MaxDelay = std::chrono::hours(24 * 365);
  Entry.m_due = Now + std::clamp(Delay, Duration{0}, MaxDelay);
  Entry.m_limit = Entry.m_due + Slack;
  Entry.m_callback = std::move(Callback);
  Entry.m_pending = true;
  m_queue.insert(Entry);
  waitForNext();
}

void TimerQueue::cancel(TimerEntry &Entry) {
  if (!Entry.m_pending)
    return;
  Entry.m_pending = false;
  Entry.m_queued.unlink();
  Entry.m_firing.unlink();
  if (m_queue.empty() && m_waitsUntil) {
    m_waitsUntil.reset();
    m_wait->cancel();
  }
  // Last, because it may destroy the entry after the shutdown.
  drop(std::exchange(Entry.m_callback, nullptr));
}

void TimerQueue::drop(std::function<void()> Callback) {
  if (m_shutDown)
    return;
  m_dropped.push_back(std::move(Callback));
  if (m_running || std::exchange(m_dropPosted, true))
    return;
  boost::asio::post(m_loop, [this] {
    m_dropPosted = false;
    destroyDropped();
  });
}

void TimerQueue::destroyDropped() {
  while (!m_dropped.empty()) {
    std::vector<std::function<void()>> Destroyed;
    Destroyed.swap(m_dropped);
  }
}

TimerQueue::SteadyTime TimerQueue::fireDue() {
  const SteadyTime Now = std::chrono::steady_clock::now();
  if (m_queue.empty() || m_queue.begin()->m_limit > Now)
    return Now;
  FiringList Due;
  for (auto It = m_queue.begin();
       It != m_queue.end() && It->m_limit <= Now + MaxSlack;) {
    TimerEntry &Entry = *It++;
    if (Entry.m_due > Now)
      continue;
    Entry.m_queued.unlink();
    Due.push_back(Entry);
  }
  /// Queues the rest again if a callback throws.
  struct QueueRest {
    TimerQueue &Owner;
    FiringList &Rest;
    ~QueueRest() {
      while (!Rest.empty()) {
        TimerEntry &Entry = Rest.front();
        Entry.m_firing.unlink();
        Owner.m_queue.insert(Entry);
      }
    }
  };
  const QueueRest OnReturn{*this, Due};
  while (!Due.empty()) {
    TimerEntry &Entry = Due.front();
    Entry.m_firing.unlink();
    Entry.m_pending = false;
    // Moved, because the callback may set the timer again or destroy it.
    const auto Callback = std::exchange(Entry.m_callback, nullptr);
    Callback();
  }
  return Now;
}

void TimerQueue::waitForNext() {
  if (m_running || m_shutDown || m_queue.empty())
    return;
  const SteadyTime Next = m_queue.begin()->m_limit;
  if (m_waitsUntil && *m_waitsUntil <= Next)
    return;
  m_waitsUntil = Next;
  if (!m_wait)
    m_wait.emplace(m_loop);
  m_wait->expires_at(Next);
  m_wait->async_wait([this](const boost::system::error_code &Failed) {
    if (Failed || m_running)
      return;
    m_waitsUntil.reset();
    /// Waits again even if a callback throws.
    struct WaitAgain {
      TimerQueue &Owner;
      ~WaitAgain() { Owner.waitForNext(); }
    };
    const WaitAgain OnReturn{*this};
    fireDue();
  });
}

void TimerQueue::updateWork() {
  if (m_queue.empty())
    m_work.reset();
  else if (!m_work)
    m_work.emplace(m_loop.get_executor());
}

void TimerQueue::run() {
  const RunningScope Scope(*this);
  while (!m_loop.stopped()) {
    const SteadyTime Now = fireDue();
    destroyDropped();
    updateWork();
    if (m_queue.empty()) {
      m_loop.run_one();
      continue;
    }
    const SteadyTime Next = m_queue.begin()->m_limit;
    // run_one_until() does not look for I/O once its time has passed.
    if (Next < Now + MinWait)
      m_loop.poll_one();
    else
      m_loop.run_one_until(std::max(Next, Now + WaitGranularity));
  }
}

} // namespace nutmegdrift::net
