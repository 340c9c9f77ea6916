// A thread that calls one function at an interval until it is stopped.
#ifndef NUTMEGDRIFT_DAEMON_LOOP_H
#define NUTMEGDRIFT_DAEMON_LOOP_H

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace nutmegdrift::daemon {

/// Calls Step every Interval; a step that takes longer delays the next one.
class Loop {
public:
  Loop(std::chrono::milliseconds Interval, std::function<void()> Step)
      : m_interval(Interval), m_step(std::move(Step)),
        m_thread([this] { run(); }) {}
  ~Loop() { stop(); }
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  /// Returns once the current step has ended.
  void stop() {
    {
      const std::scoped_lock Lock(m_mutex);
      m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
      m_thread.join();
  }

private:
  void run() {
    std::unique_lock Lock(m_mutex);
    while (!m_stopping) {
      Lock.unlock();
      m_step();
      Lock.lock();
      m_changed.wait_for(Lock, m_interval, [this] { return m_stopping; });
    }
  }

  const std::chrono::milliseconds m_interval;
  const std::function<void()> m_step;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_stopping = false;
  std::thread m_thread; ///< Last, so that it starts after the members above.
};

} // namespace nutmegdrift::daemon

#endif
