// The steps of a round: silence, disruption, change, and their ends.
#include "silence_rounds.h"

#include <algorithm>

namespace nutmegdrift::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The wait of a watch, so that silences meet it at any age.
constexpr Duration WatchPeriod = seconds(12);
constexpr Duration LeastSilence = milliseconds(300);
constexpr Duration MostSilence = seconds(8);
/// Share of the silences that are shorter than ShortSilence.
constexpr double Short = 0.4;
constexpr Duration ShortSilence = milliseconds(1200);
/// After a change, until the watches of its kind are renewed.
constexpr Duration RenewalTime = milliseconds(500);
/// Between the first and the last daemon that a silence reaches.
constexpr Duration Spread = milliseconds(400);
/// From the end of the silence to the change: the bounds hold again.
constexpr Duration Contact = Disturbances::Settle + milliseconds(100);
/// A change that was missed shows within this time.
constexpr Duration ChangeTime = seconds(9);
constexpr Duration StopTime = DaemonProcess::StopGrace + milliseconds(300);
/// Bytes of an answer that is broken off in its head, and in its body.
constexpr std::size_t PartOfHead = 20;
constexpr std::size_t PartOfBody = 110;
/// Share of the rounds in which the silence reaches all daemons.
constexpr double AllSilenced = 0.6;
constexpr double PartSilenced = 0.4;
constexpr unsigned Zones = 3;

} // namespace

SilenceRounds::SilenceRounds(Fleet &Of, std::uint64_t Seed)
    : FaultPlan(Of, Seed) {}

const std::vector<SilenceRounds::Form> &SilenceRounds::forms() {
  static const std::vector<Form> Table = {
      {.Name = "lost", .Fault = {.Lose = true}},
      {.Name = "lost-all", .Fault = {.Lose = true}, .MutesOpen = true},
      {.Name = "not-accepted",
       .Fault = {.Lose = true, .AcceptNone = true},
       .MutesOpen = true},
      {.Name = "held", .Fault = {.CutThere = true, .CutBack = true}},
      {.Name = "answers-held", .Fault = {.CutBack = true}},
      {.Name = "reset-at-end", .Fault = {.Lose = true}, .ResetsAtEnd = true},
      {.Name = "broken-heads",
       .Fault = {.Lose = true, .PassedBack = PartOfHead}},
      {.Name = "broken-bodies",
       .Fault = {.Lose = true, .PassedBack = PartOfBody}}};
  return Table;
}

const std::vector<SilenceRounds::Choice> &SilenceRounds::disruptions() {
  static const std::vector<Choice> Table = {
      {"none", &SilenceRounds::disruptNothing},
      {"none", &SilenceRounds::disruptNothing},
      {"kill", &SilenceRounds::killOne},
      {"kill-some", &SilenceRounds::killSome},
      {"terminate", &SilenceRounds::terminateOne},
      {"pause", &SilenceRounds::pauseOne},
      {"refuse", &SilenceRounds::refuseFirst}};
  return Table;
}

const std::vector<SilenceRounds::Choice> &SilenceRounds::changes() {
  static const std::vector<Choice> Table = {
      {"evacuate", &SilenceRounds::evacuateZone},
      {"evacuate", &SilenceRounds::evacuateZone},
      {"drain", &SilenceRounds::drainReplica},
      {"drain", &SilenceRounds::drainReplica},
      {"remove", &SilenceRounds::removeReplica},
      {"route", &SilenceRounds::addRoute},
      {"key", &SilenceRounds::replaceKey}};
  return Table;
}

void SilenceRounds::run(const std::vector<Choice> &Among) {
  const Choice &Chosen = Among[m_random() % Among.size()];
  m_fleet.note(std::string("step=") + Chosen.Name);
  (this->*Chosen.Run)();
}

void SilenceRounds::beginRound() {
  m_timers.clear();
  ++m_started;
  after(between(seconds(1), WatchPeriod), [this] {
    // After a change all daemons watch again within half a second.
    if (m_random() % 2 == 0)
      m_fleet.Operations->registerReplica(replica());
    after(between({}, RenewalTime), [this] { beginSilence(); });
  });
}

void SilenceRounds::beginSilence() {
  m_form = &forms()[m_random() % forms().size()];
  m_silenced.clear();
  const bool All = uniform(m_random) < AllSilenced;
  for (const auto &Each : m_fleet.Daemons)
    if (All || uniform(m_random) < PartSilenced)
      m_silenced.push_back(Each.get());
  if (m_silenced.empty())
    m_silenced.push_back(&daemon());
  const Duration Length = between(
      LeastSilence, uniform(m_random) < Short ? ShortSilence : MostSilence);
  m_fleet.note(
      std::string("silence=") + m_form->Name +
      " daemons=" + std::to_string(m_silenced.size()) + " ms=" +
      std::to_string(std::chrono::duration_cast<milliseconds>(Length).count()));
  m_fleet.Disturbed.begin(PromiseChecker::Store, m_fleet.Clk.now());
  m_silent = m_silenced.size();
  // One daemon after the other, as they reach the store on ways of their own.
  const bool Together = m_random() % 2 == 0;
  for (DaemonProcess *Each : m_silenced) {
    const Duration Late = Together ? Duration{0} : between({}, Spread);
    after(Late, [this, Each] { silence(*Each); });
    after(Late + Length, [this, Each] { endSilence(*Each); });
  }
  after(between({}, Length), [this] { run(disruptions()); });
}

void SilenceRounds::silence(DaemonProcess &Which) {
  if (m_form->MutesOpen)
    Which.store().muteAll();
  Which.store().setFault(m_form->Fault);
}

void SilenceRounds::endSilence(DaemonProcess &Which) {
  Which.store().setFault({});
  if (m_form->ResetsAtEnd)
    Which.store().resetAll();
  if (--m_silent == 0)
    storeAnswers();
}

void SilenceRounds::storeAnswers() {
  m_fleet.Store.Down = false;
  m_fleet.Disturbed.end(PromiseChecker::Store, m_fleet.Clk.now());
  const std::size_t Lost = lostConnections();
  m_fleet.note("silence=ended lost_connections=" +
               std::to_string(Lost - std::exchange(m_lostBefore, Lost)));
  after(Contact, [this] { change(); });
}

std::size_t SilenceRounds::lostConnections() const {
  std::size_t Sum = 0;
  for (const auto &Each : m_fleet.Daemons)
    Sum += Each->store().muted();
  return Sum;
}

void SilenceRounds::change() {
  run(changes());
  after(ChangeTime, [this] { endRound(); });
}

void SilenceRounds::endRound() {
  if (const auto Undo = std::exchange(m_undo, nullptr))
    Undo();
  beginRound();
}

void SilenceRounds::settle() {
  m_timers.clear();
  for (const auto &Each : m_fleet.Daemons)
    Each->store().setFault({});
  resumeAll();
  m_fleet.Store.Down = false;
  if (m_silent > 0)
    m_fleet.Disturbed.end(PromiseChecker::Store, m_fleet.Clk.now());
  m_silent = 0;
  if (const auto Undo = std::exchange(m_undo, nullptr))
    Undo();
  m_fleet.note("silence=none");
}

void SilenceRounds::killOne() {
  DaemonProcess &Which = daemon();
  Which.kill();
  after(between(milliseconds(50), seconds(2)), [&Which] { Which.start(); });
}

void SilenceRounds::killSome() {
  for (const auto &Each : m_fleet.Daemons)
    if (m_random() % 2 == 0) {
      Each->kill();
      after(between(milliseconds(50), seconds(2)),
            [Which = Each.get()] { Which->start(); });
    }
}

void SilenceRounds::terminateOne() {
  DaemonProcess &Which = daemon();
  Which.terminate();
  after(StopTime, [&Which] { Which.start(); });
}

void SilenceRounds::pauseOne() {
  DaemonProcess &Which = daemon();
  Which.pause();
  after(between(milliseconds(300), seconds(3)), [&Which] { Which.resume(); });
}

void SilenceRounds::refuseFirst() {
  // The daemons that are not silenced are refused until the silence ends.
  m_fleet.Store.Down = true;
}

void SilenceRounds::evacuateZone() {
  const std::string Zone = "z" + std::to_string(m_random() % Zones);
  m_fleet.note("zone=" + Zone);
  m_fleet.Operations->evacuate(Zone);
  m_undo = [this, Zone] { m_fleet.Operations->takeBack(Zone); };
}

void SilenceRounds::drainReplica() {
  ReplicaStandIn &Which = replica();
  m_fleet.Operations->announceDraining(Which);
  m_undo = [this, &Which] {
    m_fleet.Operations->unregisterReplica(Which.id());
    Which.start();
    m_fleet.Operations->registerReplica(Which);
  };
}

void SilenceRounds::removeReplica() {
  ReplicaStandIn &Which = replica();
  m_fleet.Operations->unregisterReplica(Which.id());
  m_undo = [this, &Which] {
    Which.start();
    m_fleet.Operations->registerReplica(Which);
  };
}

void SilenceRounds::addRoute() {
  m_fleet.Operations->addRoute();
  m_undo = [this] { m_fleet.Operations->removeRoute(); };
}

void SilenceRounds::replaceKey() { m_fleet.Operations->replaceKey(m_random); }

void SilenceRounds::after(Duration Delay, std::function<void()> What) {
  auto Made = std::make_unique<net::Timer>(m_fleet.Loop);
  Made->callAfter(Delay, std::move(What));
  m_timers.push_back(std::move(Made));
}

} // namespace nutmegdrift::soak
