// Silences of the store, each followed by a change that all daemons have to
// apply in time. Unlike the faults of FaultInjector, nothing else overlaps, so
// that the bounds of the change are checked in each round.
#ifndef NUTMEGDRIFT_SOAK_SILENCE_ROUNDS_H
#define NUTMEGDRIFT_SOAK_SILENCE_ROUNDS_H

#include "fault_plan.h"

namespace nutmegdrift::soak {

class SilenceRounds final : public FaultPlan {
public:
  SilenceRounds(Fleet &Of, std::uint64_t Seed);

  void start() override { beginRound(); }
  void settle() override;

private:
  using Step = void (SilenceRounds::*)();
  struct Choice {
    const char *Name;
    Step Run;
  };
  struct Form {
    const char *Name;
    LinkFault Fault;
    bool MutesOpen = false;   ///< Also the connections that wait.
    bool ResetsAtEnd = false; ///< All connections.
  };
  static const std::vector<Form> &forms();
  static const std::vector<Choice> &disruptions();
  static const std::vector<Choice> &changes();

  void beginRound();
  void beginSilence();
  void silence(DaemonProcess &Which);
  void endSilence(DaemonProcess &Which);
  void storeAnswers();
  /// Connections to the store that have lost bytes, in all rounds so far.
  [[nodiscard]] std::size_t lostConnections() const;
  void change();
  void endRound();
  void run(const std::vector<Choice> &Among);

  void disruptNothing() {}
  void killOne();
  void killSome();
  void terminateOne();
  void pauseOne();
  void refuseFirst();

  void evacuateZone();
  void drainReplica();
  void removeReplica();
  void addRoute();
  void replaceKey();

  void after(Duration Delay, std::function<void()> What);

  std::vector<std::unique_ptr<net::Timer>> m_timers; ///< Of this round.
  const Form *m_form = nullptr;
  std::vector<DaemonProcess *> m_silenced;
  std::size_t m_silent = 0;     ///< Of m_silenced, those that still are.
  std::size_t m_lostBefore = 0; ///< Connections that earlier rounds muted.
  std::function<void()> m_undo{};
};

} // namespace nutmegdrift::soak

#endif
