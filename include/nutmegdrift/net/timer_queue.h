// The deadlines of one event loop in a single sorted queue.
#ifndef NUTMEGDRIFT_NET_TIMER_QUEUE_H
#define NUTMEGDRIFT_NET_TIMER_QUEUE_H

#include "nutmegdrift/base/clock.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <functional>
#include <optional>
#include <vector>

namespace nutmegdrift::net {

/// A deadline in the queue. It fires at Due or later, if possible before Limit.
class TimerEntry {
public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  /// Whether the callback is still to be called.
  [[nodiscard]] bool pending() const { return m_pending; }

private:
  friend class TimerQueue;
  struct ByLimit {
    bool operator()(const TimerEntry &A, const TimerEntry &B) const {
      return A.m_limit < B.m_limit;
    }
  };
  using AutoUnlink = boost::intrusive::link_mode<boost::intrusive::auto_unlink>;

  boost::intrusive::set_member_hook<AutoUnlink> m_queued;
  boost::intrusive::list_member_hook<AutoUnlink> m_firing;
  SteadyTime m_due{};
  SteadyTime m_limit{};
  std::function<void()> m_callback;
  bool m_pending = false;
};

/// Calls the callbacks of all timers of an event loop. One Asio timer would
/// cost two system calls for each deadline that becomes the earliest one.
/// Deadlines that are close together fire at one wake-up of the loop.
///
/// run() needs no system call for timers, because it passes the earliest
/// deadline to the wait for I/O. While the loop is run in another way, one Asio
/// timer waits for the earliest deadline.
class TimerQueue final : public boost::asio::execution_context::service {
public:
  using SteadyTime = TimerEntry::SteadyTime;
  using key_type = TimerQueue;
  /// Asio looks up a service by a member of this name.
  static boost::asio::execution_context::id id; // NOLINT

  /// Longest time by which a callback is late to share a wake-up with others.
  static constexpr Duration MaxSlack = std::chrono::milliseconds(10);
  /// Share of a timer's delay by which it may be late, up to MaxSlack.
  static constexpr double SlackShare = 0.1;

  explicit TimerQueue(boost::asio::execution_context &Owner);
  static TimerQueue &of(boost::asio::io_context &Loop);

  /// Replaces the entry's pending callback.
  void add(TimerEntry &Entry, Duration Delay, Duration Slack,
           std::function<void()> Callback);
  /// The callback is destroyed later, because it may own its canceller.
  void cancel(TimerEntry &Entry);
  /// Runs the loop until it is stopped or has no work. An exception of a
  /// callback ends the run, which can be started again.
  void run();

private:
  class RunningScope;

  void shutdown() override;
  /// Returns the time at which it looked.
  SteadyTime fireDue();
  void waitForNext();
  void drop(std::function<void()> Callback);
  void destroyDropped();
  void updateWork();

  using Queue = boost::intrusive::multiset<
      TimerEntry,
      boost::intrusive::member_hook<
          TimerEntry, boost::intrusive::set_member_hook<TimerEntry::AutoUnlink>,
          &TimerEntry::m_queued>,
      boost::intrusive::compare<TimerEntry::ByLimit>,
      boost::intrusive::constant_time_size<false>>;
  using FiringList = boost::intrusive::list<
      TimerEntry,
      boost::intrusive::member_hook<
          TimerEntry,
          boost::intrusive::list_member_hook<TimerEntry::AutoUnlink>,
          &TimerEntry::m_firing>,
      boost::intrusive::constant_time_size<false>>;

  boost::asio::io_context &m_loop;
  Queue m_queue;
  /// Cancelled callbacks, destroyed when no function of their owners runs.
  std::vector<std::function<void()>> m_dropped;
  bool m_dropPosted = false;
  bool m_running = false; ///< Within run().
  bool m_shutDown = false;
  /// Waits for the earliest deadline outside run().
  std::optional<boost::asio::steady_timer> m_wait;
  std::optional<SteadyTime> m_waitsUntil;
  /// Keeps run() going while timers are pending.
  std::optional<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      m_work;
};

} // namespace nutmegdrift::net

#endif
