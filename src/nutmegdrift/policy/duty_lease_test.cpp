// The lease on the duties when processes pause, links are cut, answers get lost
// and the store is restored, without a network.
#include "nutmegdrift/policy/duty_lease.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <functional>

namespace nutmegdrift::policy {
namespace {

using namespace std::chrono_literals;

constexpr Duration LeaseTime = 3s;
const DutyTimes Times = DutyTimes::of(LeaseTime);
constexpr Duration Expiry = LeaseTime + LeaseTime / 10;
constexpr std::uint64_t Era = 1;

/// The object of a store that accepts conditional writes.
struct Store {
  std::optional<StoredDuties> Object;
  std::uint64_t Revision = 0;
  std::uint64_t Era = 1;

  bool accepts(const DutyWrite &Write) const {
    return Write.Revision ==
           (Object ? std::optional(Object->Revision) : std::nullopt);
  }
  bool put(const DutyWrite &Write) {
    if (!accepts(Write))
      return false;
    Object = {.Record = Write.Record, .Revision = ++Revision};
    return true;
  }
};

struct DutyLeaseFixture : ::testing::Test {
  DutyLease lease(const std::string &Name, BootId Boot = 1) const {
    return {Name, Boot, Times, Now};
  }
  void read(DutyLease &Reader) const {
    Reader.observeCurrent(Shared.Object, Shared.Era, Now, Now);
  }
  /// Carries out the write that is due; false if there is none or it conflicts.
  bool write(DutyLease &Writer, const DutyLease::Context &With = {}) {
    if (Writer.needsRead(Now, With.Rank))
      read(Writer);
    const auto Write = Writer.dueWrite(Now, With);
    return Write && send(Writer, *Write);
  }
  bool send(DutyLease &Writer, const DutyWrite &Write) {
    Writer.recordSent(Write, Now);
    if (Shared.put(Write)) {
      Writer.recordStored(Shared.Revision, Shared.Era, Now);
      return true;
    }
    Writer.recordConflict(Shared.Object, Shared.Era, Now);
    return false;
  }
  static DutyLease::Context deciding(std::uint64_t Window,
                                     std::uint64_t Count) {
    return {.Decisions = {.Reports = {{Window, {{"w", Count}}}}}};
  }

  TimePoint Now{1h};
  Store Shared;
};

TEST_F(DutyLeaseFixture, TheHolderActsUntilTheLeaseOfItsLastWriteEnds) {
  DutyLease A = lease("a");
  EXPECT_TRUE(A.needsRead(Now, 0));
  EXPECT_FALSE(A.dueWrite(Now, {}));
  read(A);
  const auto Claim = A.dueWrite(Now, {});
  ASSERT_TRUE(Claim);
  EXPECT_FALSE(Claim->Revision);
  A.recordSent(*Claim, Now);
  const TimePoint Sent = Now;
  EXPECT_FALSE(A.covers(Now)); // The result isn't known.
  Now += 400ms;
  ASSERT_TRUE(Shared.put(*Claim));
  A.recordStored(Shared.Revision, Era, Now);
  EXPECT_TRUE(A.covers(Sent + LeaseTime - Times.Margin - 1ms));
  EXPECT_FALSE(A.covers(Sent + LeaseTime - Times.Margin));
  EXPECT_FALSE(A.dueWrite(Now, {})); // Each write is billed.
  Now = Sent + Times.RenewInterval;
  EXPECT_TRUE(write(A));
  EXPECT_TRUE(A.covers(Sent + LeaseTime));
  EXPECT_EQ(A.record().Epoch, Era * DutyLease::EpochsPerEra + 1);
}

TEST_F(DutyLeaseFixture, AnotherDaemonClaimsOnlyWhenTheHolderHasStopped) {
  DutyLease A = lease("a");
  DutyLease B = lease("b");
  read(A);
  ASSERT_TRUE(write(A));
  Now += 500ms;
  read(B);
  const TimePoint Seen = Now;
  while (Now - Seen < Expiry) {
    EXPECT_FALSE(B.dueWrite(Now, {}));
    Now += 100ms;
  }
  EXPECT_FALSE(B.dueWrite(Now, {.Rank = DutyLease::MaxCandidates}));
  EXPECT_FALSE(A.covers(Now));
  ASSERT_TRUE(write(B));
  EXPECT_EQ(B.record().Epoch, A.record().Epoch + 1);
  EXPECT_EQ(B.record().Previous, "a");
  // The holder before finds out by its next write, and waits.
  EXPECT_TRUE(A.needsRead(Now, 0));
  read(A);
  EXPECT_FALSE(A.holds());
  EXPECT_FALSE(A.covers(Now));
  EXPECT_FALSE(A.dueWrite(Now + Expiry - 1ms, {}));
}

TEST_F(DutyLeaseFixture,
       AReleasedLeaseIsClaimedAtOnceButNotByThePreviousHolder) {
  DutyLease A = lease("a");
  DutyLease B = lease("b");
  DutyLease C = lease("c");
  read(A);
  ASSERT_TRUE(write(A));
  Now += Expiry;
  read(B);
  Now += Expiry;
  ASSERT_TRUE(write(B));
  read(A);
  read(C);
  Now += 100ms;
  B.startRelease();
  EXPECT_FALSE(B.covers(Now));
  const auto Release = B.dueRelease();
  ASSERT_TRUE(Release);
  ASSERT_TRUE(send(B, *Release));
  EXPECT_FALSE(B.holds());
  read(A);
  read(C);
  EXPECT_FALSE(A.dueWrite(Now, {}));
  // A boot that has just started may follow one that held the lease.
  DutyLease Restarted = lease("a", 2);
  read(Restarted);
  EXPECT_FALSE(Restarted.dueWrite(Now, {}));
  EXPECT_TRUE(write(C));
}

TEST_F(DutyLeaseFixture, ALostAnswerIsResolvedByAReadBeforeAnythingIsSent) {
  DutyLease A = lease("a");
  read(A);
  ASSERT_TRUE(write(A));
  for (const bool Stored : {true, false}) {
    Now += Times.RenewInterval;
    const auto Write = A.dueWrite(Now, deciding(Stored ? 7 : 8, 5));
    ASSERT_TRUE(Write);
    A.recordSent(*Write, Now);
    const TimePoint Sent = Now;
    if (Stored)
      Shared.put(*Write);
    A.recordUnknown();
    EXPECT_TRUE(A.needsRead(Now, 0));
    EXPECT_FALSE(A.dueWrite(Now, {}));
    const bool CoveredBefore = A.covers(Sent + LeaseTime - Times.Margin - 1ms);
    EXPECT_FALSE(CoveredBefore);
    Now += 100ms;
    read(A);
    EXPECT_EQ(A.covers(Sent + LeaseTime - Times.Margin - 1ms), Stored);
    ASSERT_EQ(A.openReports().size(), 1U);
    EXPECT_EQ(A.openReports().front()->Window, 7U);
  }
}

TEST_F(DutyLeaseFixture, TheNextHolderSendsTheReportThatWasDecided) {
  DutyLease A = lease("a");
  DutyLease B = lease("b");
  read(A);
  ASSERT_TRUE(write(A));
  Now += Times.RenewInterval;
  ASSERT_TRUE(write(A, deciding(7, 5)));
  read(B);
  Now += Expiry;
  ASSERT_TRUE(write(B, deciding(7, 6)));
  Now += Times.RenewInterval;
  ASSERT_TRUE(write(B, deciding(7, 6)));
  ASSERT_EQ(B.openReports().size(), 1U);
  EXPECT_EQ(*B.openReports().front(), (UsageReport{7, {{"w", 5}}}));
  B.recordAccepted(7);
  EXPECT_TRUE(B.openReports().empty());
  Now += Times.RenewInterval;
  ASSERT_TRUE(write(B, deciding(8, 1)));
  EXPECT_EQ(B.record().Settled, 7U);
  EXPECT_EQ(B.record().Decided, 8U);
}

// A report that was sent must not be decided anew from a copy without it.
TEST_F(DutyLeaseFixture, ARestoreOfTheStoreChangesNoDecision) {
  DutyLease A = lease("a");
  DutyLease B = lease("b");
  read(A);
  ASSERT_TRUE(write(A));
  const Store Copy = Shared;
  Now += Times.RenewInterval;
  ASSERT_TRUE(write(A, deciding(7, 5)));
  read(B);
  const std::uint64_t Before = A.record().Epoch;
  Shared = Copy;
  Shared.Era = 2;
  // Revisions are given out again, so the next write may find the one it names.
  Now += Times.RenewInterval;
  EXPECT_FALSE(write(A, deciding(8, 1)));
  EXPECT_FALSE(A.covers(Now)); // Not before a write in the new era.
  ASSERT_TRUE(write(A, deciding(7, 9)));
  EXPECT_GT(A.record().Epoch, Before);
  ASSERT_EQ(A.openReports().size(), 1U);
  EXPECT_EQ(*A.openReports().front(), (UsageReport{7, {{"w", 5}}}));
}

// The holder died with the store's last changes. A daemon that doesn't know
// what was decided leaves out the windows that may have been.
TEST_F(DutyLeaseFixture, AfterARestoreADaemonReportsNoWindowThatMayBeDecided) {
  DutyLease A = lease("a");
  DutyLease B = lease("b");
  read(A);
  ASSERT_TRUE(write(A));
  read(B);
  const Store Copy = Shared;
  Now += Times.RenewInterval;
  ASSERT_TRUE(write(A, deciding(7, 5)));
  Shared = Copy;
  Shared.Era = 2;
  read(B);
  Now += Expiry;
  ASSERT_TRUE(write(B, {.CurrentWindow = 8}));
  EXPECT_EQ(B.record().Decided, 8U);
  EXPECT_GT(B.record().Epoch, A.record().Epoch);
}

// A holder that was paused must not take a restored store's object for its own.
TEST_F(DutyLeaseFixture, APausedHolderReadsTheObjectBeforeItWrites) {
  DutyLease A = lease("a");
  read(A);
  ASSERT_TRUE(write(A));
  Now += 10s;
  EXPECT_FALSE(A.covers(Now));
  EXPECT_FALSE(A.dueWrite(Now, {}));
  EXPECT_TRUE(A.needsRead(Now, 0));
  read(A);
  EXPECT_TRUE(write(A)); // Nobody claimed: the same epoch goes on.
  EXPECT_EQ(A.record().Epoch, Era * DutyLease::EpochsPerEra + 1);
  EXPECT_TRUE(A.covers(Now));
}

TEST_F(DutyLeaseFixture, ADownServiceDoesNotMakeTheObjectGrowWithoutEnd) {
  DutyLease A = lease("a");
  read(A);
  ASSERT_TRUE(write(A));
  for (std::uint64_t Window = 1; Window <= 2 * DutyLease::MaxPending;
       ++Window) {
    Now += Times.RenewInterval;
    ASSERT_TRUE(write(A, deciding(Window, 1)));
  }
  EXPECT_EQ(A.record().Pending.size(), DutyLease::MaxPending);
  EXPECT_EQ(A.record().Settled, DutyLease::MaxPending);
}

/// Several daemons, a store and a service in virtual time. Daemons pause, lose
/// the store, restart and stop; messages are late or get lost; the store is
/// restored from copies.
class DutySimulation {
public:
  static constexpr std::size_t Daemons = 4;
  static constexpr Duration Step = 50ms;
  static constexpr Duration Window = 2s;
  /// Calls that arrive so soon after their sender was resumed don't count.
  static constexpr Duration ThawSlack = 300ms;

  explicit DutySimulation(std::uint64_t Seed) : m_random(Seed) {
    for (std::size_t I = 0; I < Daemons; ++I)
      m_nodes.push_back(
          {.Name = "d" + std::to_string(I), .Lease = make(I, 1), .Boot = 1});
  }

  void run(int Steps, bool Restores) {
    for (int I = 0; I < Steps; ++I) {
      m_now += Step;
      if (Restores)
        disturbStore();
      deliver();
      for (std::size_t Node = 0; Node < Daemons; ++Node) {
        disturb(Node);
        if (m_now >= m_nodes[Node].PausedUntil)
          act(Node);
      }
    }
  }
  /// Without disturbances, to see that the duties are taken up again.
  std::size_t settle() {
    const std::size_t Before = Accepted;
    for (std::size_t I = 0; I < Daemons; ++I) {
      m_nodes[I].PausedUntil = m_now;
      m_nodes[I].CutUntil = m_now;
      if (m_nodes[I].Stopping)
        restart(I);
    }
    m_storeDownUntil = m_now;
    m_calm = true;
    run(400, false);
    return Accepted - Before;
  }

  std::string Violation;
  std::size_t Accepted = 0; ///< Reports.

private:
  struct Node {
    std::string Name;
    DutyLease Lease;
    BootId Boot = 0;
    TimePoint PausedUntil{};
    TimePoint Resumed{};
    TimePoint CutUntil{};
    TimePoint NextRead{};
    TimePoint CallUntil{}; ///< A call is in progress.
    bool Writing = false;
    bool Reading = false;
    bool Stopping = false;
    std::uint64_t Restarts = 0; ///< Answers to earlier runs are dropped.
  };
  struct Event {
    TimePoint At;
    std::function<void()> Run;
  };
  struct Call {
    std::string Holder;
    std::uint64_t Epoch;
    UsageReport Report;
  };

  DutyLease make(std::size_t I, BootId Boot) const {
    return {"d" + std::to_string(I), Boot, Times, m_now};
  }
  bool chance(double Share) { return uniform(m_random) < Share; }
  Duration between(Duration Low, Duration High) {
    return Low + std::chrono::duration_cast<Duration>((High - Low) *
                                                      uniform(m_random));
  }
  void later(Duration Delay, std::function<void()> Run) {
    m_events.push_back({m_now + Delay, std::move(Run)});
  }

  void deliver() {
    std::vector<Event> Due;
    std::erase_if(m_events, [&](Event &Each) {
      if (Each.At > m_now)
        return false;
      Due.push_back(std::move(Each));
      return true;
    });
    for (const Event &Each : Due)
      Each.Run();
  }

  void disturbStore() {
    if (chance(0.002))
      m_copy = m_store;
    if (chance(0.002)) {
      const std::uint64_t Next = m_store.Era + 1;
      m_store = m_copy;
      m_store.Era = Next;
    }
  }

  void disturb(std::size_t I) {
    if (m_calm)
      return;
    Node &It = m_nodes[I];
    if (m_now >= It.PausedUntil && chance(0.004)) {
      It.PausedUntil = m_now + between(200ms, 8s);
      It.Resumed = It.PausedUntil;
    }
    if (chance(0.003))
      It.CutUntil = m_now + between(500ms, 8s);
    if (chance(0.001))
      m_storeDownUntil = m_now + between(500ms, 5s);
    if (chance(It.Stopping ? 0.02 : 0.002))
      restart(I);
    if (chance(0.002)) {
      It.Lease.startRelease();
      It.Stopping = true;
    }
  }

  void restart(std::size_t I) {
    Node &It = m_nodes[I];
    It.Lease = make(I, ++It.Boot);
    It.Writing = It.Reading = It.Stopping = false;
    It.CallUntil = {};
    ++It.Restarts;
  }

  bool reaches(const Node &It) {
    return m_now >= It.CutUntil && m_now >= m_storeDownUntil &&
           (m_calm || !chance(0.05));
  }

  /// The answer is seen after a delay, and once the process runs.
  void answer(std::size_t I, std::function<void(Node &)> Apply) {
    const std::uint64_t Run = m_nodes[I].Restarts;
    later(between(1ms, 400ms), [this, I, Run, Apply = std::move(Apply)] {
      if (m_nodes[I].Restarts != Run)
        return;
      if (m_now < m_nodes[I].PausedUntil) {
        answer(I, Apply);
        return;
      }
      Apply(m_nodes[I]);
    });
  }

  void read(std::size_t I) {
    Node &It = m_nodes[I];
    It.Reading = true;
    It.NextRead = m_now + between(300ms, 1500ms);
    if (!reaches(It)) {
      answer(I, [this](Node &Own) {
        Own.Reading = false;
        Own.Lease.recordReadFailure(m_now);
      });
      return;
    }
    const bool Current = It.Lease.needsRead(m_now, I);
    answer(I, [this, Current, Sent = m_now, Seen = m_store](Node &Own) {
      Own.Reading = false;
      if (Current)
        Own.Lease.observeCurrent(Seen.Object, Seen.Era, Sent, m_now);
      else
        Own.Lease.observe(Seen.Object, Seen.Era, m_now);
    });
  }

  void write(std::size_t I, const DutyWrite &Write) {
    Node &It = m_nodes[I];
    It.Writing = true;
    It.Lease.recordSent(Write, m_now);
    const bool Arrives = reaches(It);
    const bool Answered = m_calm || !chance(0.1);
    if (!Arrives || !Answered) {
      // It may be stored long after the writer gave up. Not after a restore of
      // which the writer did not know: with a revision that was given out again
      // it could replace a later record, see docs/design/duties.md.
      if (Arrives)
        later(between(0ms, 2s), [this, Write] {
          if (m_store.Era == Write.Record.Era)
            m_store.put(Write);
        });
      answer(I, [](Node &Own) {
        Own.Writing = false;
        Own.Lease.recordUnknown();
      });
      return;
    }
    const bool Stored = m_store.put(Write);
    answer(I, [this, Stored, Seen = m_store](Node &Own) {
      Own.Writing = false;
      if (Stored)
        Own.Lease.recordStored(Seen.Object->Revision, Seen.Era, m_now);
      else
        Own.Lease.recordConflict(Seen.Object, Seen.Era, m_now);
    });
  }

  void act(std::size_t I) {
    Node &It = m_nodes[I];
    if (!It.Reading && (It.Lease.needsRead(m_now, I) ||
                        (!It.Lease.holds() && m_now >= It.NextRead)))
      read(I);
    // Heartbeats.
    for (const Node &Other : m_nodes)
      if (&Other != &It && m_now >= It.CutUntil && m_now >= Other.CutUntil &&
          m_now >= Other.PausedUntil && chance(0.1))
        It.Lease.observeView(Other.Lease.view(), m_now);
    if (!It.Writing) {
      auto Due = It.CallUntil <= m_now ? It.Lease.dueRelease() : std::nullopt;
      if (!Due)
        Due = It.Lease.dueWrite(m_now, {.Rank = I,
                                        .CurrentWindow = currentWindow(),
                                        .Decisions = decisions(It)});
      if (Due)
        write(I, *Due);
    }
    if (It.CallUntil <= m_now)
      call(I);
  }

  [[nodiscard]] std::uint64_t currentWindow() const {
    return static_cast<std::uint64_t>(m_now.time_since_epoch() / Window);
  }

  /// Each daemon has other counts at each time.
  DutyDecisions decisions(const Node &It) {
    if (!It.Lease.holds())
      return {};
    const std::uint64_t Next =
        std::max(It.Lease.record().Decided + 1, currentWindow() - 3);
    if (Next >= currentWindow())
      return {};
    return {.Reports = {{Next, {{"w", ++m_counter}}}}};
  }

  void call(std::size_t I) {
    Node &It = m_nodes[I];
    const auto Open = It.Lease.openReports();
    if (Open.empty() || !It.Lease.covers(m_now + Times.MinCallTimeout))
      return;
    const TimePoint End =
        std::min(m_now + Times.MaxCallTimeout, *It.Lease.validUntil());
    It.CallUntil = End;
    const Call Sent{It.Name, It.Lease.record().Epoch, *Open.front()};
    // It arrives within the time of the call or not at all.
    const TimePoint Arrival = m_now + between(1ms, 700ms);
    if (Arrival >= End || m_now < It.CutUntil || (!m_calm && chance(0.1)))
      return;
    const std::uint64_t Run = It.Restarts;
    later(Arrival - m_now, [this, I, Sent, Run] {
      arrive(Sent, m_nodes[I]);
      if (!m_calm && chance(0.1))
        return;
      if (m_nodes[I].Restarts == Run)
        m_nodes[I].Lease.recordAccepted(Sent.Report.Window);
    });
  }

  void arrive(const Call &Received, const Node &Sender) {
    const auto Known =
        m_reports.emplace(Received.Report.Window, Received.Report.Counts);
    if (Known.second)
      ++Accepted;
    else if (Known.first->second != Received.Report.Counts)
      Violation =
          "two reports for window " + std::to_string(Received.Report.Window);
    const auto Holder = m_epochs.emplace(Received.Epoch, Received.Holder);
    if (Holder.first->second != Received.Holder)
      Violation = "two holders with epoch " + std::to_string(Received.Epoch);
    const bool Excused = m_now - Sender.Resumed < ThawSlack;
    if (!Excused && Received.Epoch < m_newestEpoch)
      Violation = "epoch " + std::to_string(Received.Epoch) + " after " +
                  std::to_string(m_newestEpoch);
    m_newestEpoch = std::max(m_newestEpoch, Received.Epoch);
    if (Excused)
      return;
    // Another holder's call between two of this one.
    const auto Last = m_lastCalls.find(Received.Holder);
    if (Last != m_lastCalls.end() && m_now - Last->second < LeaseTime)
      for (const auto &[Other, At] : m_lastCalls)
        if (Other != Received.Holder && At > Last->second)
          Violation = Received.Holder + ", " + Other + ", " + Received.Holder;
    m_lastCalls[Received.Holder] = m_now;
  }

  Random m_random;
  TimePoint m_now{1h};
  std::vector<Node> m_nodes;
  std::vector<Event> m_events;
  Store m_store;
  Store m_copy;
  TimePoint m_storeDownUntil{};
  bool m_calm = false;
  std::uint64_t m_counter = 0;
  std::map<std::uint64_t, std::map<std::string, std::uint64_t>> m_reports;
  std::map<std::uint64_t, std::string> m_epochs;
  std::map<std::string, TimePoint> m_lastCalls;
  std::uint64_t m_newestEpoch = 0;
};

// Guards the four rules of the duties: one report for a window, one holder for
// an epoch, no lower epoch after a higher one, no holder back within a lease.
TEST(DutyLeaseProperty, NoInterleavingBreaksARule) {
  EXPECT_TRUE(rc::check([] {
    const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    DutySimulation Fleet(Seed);
    Fleet.run(1200, false);
    RC_ASSERT(Fleet.Violation == "");
    RC_ASSERT(Fleet.settle() > 0U);
    RC_ASSERT(Fleet.Violation == "");
  }));
}

// The same while the store is restored from copies now and then.
TEST(DutyLeaseProperty, NoRestoreOfTheStoreBreaksARule) {
  EXPECT_TRUE(rc::check([] {
    const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    DutySimulation Fleet(Seed);
    Fleet.run(1200, true);
    RC_ASSERT(Fleet.Violation == "");
    RC_ASSERT(Fleet.settle() > 0U);
    RC_ASSERT(Fleet.Violation == "");
  }));
}

} // namespace
} // namespace nutmegdrift::policy
