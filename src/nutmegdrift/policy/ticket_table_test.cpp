// Tests at-most-once execution of tickets: no ticket may run twice, whatever
// resends, restarts, hand-overs and expiries happen.
#include "nutmegdrift/policy/ticket_table.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <memory>

namespace nutmegdrift::policy {
namespace {

constexpr std::uint64_t Fingerprint = 77;
const wire::StoredAnswer Answer{200, "text/plain", "paid", std::nullopt};

struct TicketTableTest : ::testing::Test {
  ManualClock Clk;
  TicketTable Table{
      "a",
      1,
      Clk,
      {.MaxTickets = 10, .MaxStoredBytes = 20, .MaxBytesPerAnswer = 16}};

  static ErrorKind kindOf(const Expected<TicketStart> &Outcome) {
    return Outcome ? ErrorKind::Internal : Outcome.Failure.Kind;
  }
  Expected<TicketStart> start(std::uint64_t Sequence,
                              std::uint64_t RequestHash = Fingerprint) {
    return capture([&] {
      return Table.start({"a", 1, Sequence}, RequestHash);
    });
  }
};

TEST_F(TicketTableTest, RunsOnceThenJoinsThenReplays) {
  ASSERT_TRUE(Table.grant(2));
  EXPECT_EQ(start(0)->Decision, TicketDecision::Run);
  EXPECT_EQ(start(0)->Decision, TicketDecision::Join);
  EXPECT_EQ(kindOf(start(0, Fingerprint + 1)), ErrorKind::TicketInvalid);
  Table.finish({"a", 1, 0}, Answer);
  EXPECT_EQ(start(0)->Decision, TicketDecision::Replay);
  EXPECT_EQ(start(0)->Answer, Answer);
}

// A request that is known not to have run may use its ticket again.
TEST_F(TicketTableTest, ReleaseMakesStartable) {
  ASSERT_TRUE(Table.grant(1));
  EXPECT_EQ(start(0)->Decision, TicketDecision::Run);
  Table.release({"a", 1, 0});
  EXPECT_EQ(start(0)->Decision, TicketDecision::Run);
}

// Evicting old tickets instead of refusing new ones would allow second runs.
TEST_F(TicketTableTest, FullTableRefusesNewTickets) {
  ASSERT_TRUE(Table.grant(10));
  EXPECT_EQ(start(3)->Decision, TicketDecision::Run);
  const auto Full = capture([&] { return Table.grant(1); });
  EXPECT_EQ(Full.Failure.Kind, ErrorKind::TicketTableFull);
  Clk.advance(std::chrono::minutes(10));
  EXPECT_EQ(kindOf(start(3)), ErrorKind::TicketOutcomeUnknown);
  EXPECT_EQ(kindOf(start(4)), ErrorKind::TicketOutcomeUnknown);
  EXPECT_TRUE(Table.grant(10));
  EXPECT_EQ(kindOf(start(4)), ErrorKind::TicketOutcomeUnknown);
  EXPECT_EQ(kindOf(start(20)), ErrorKind::TicketInvalid);
}

// A resend whose answer was evicted must still learn that the request ran.
TEST_F(TicketTableTest, AnswersAreBounded) {
  ASSERT_TRUE(Table.grant(3));
  for (std::uint64_t I = 0; I < 3; ++I)
    EXPECT_EQ(start(I)->Decision, TicketDecision::Run);
  Table.finish({"a", 1, 0}, {200, "", std::string(15, 'x'), std::nullopt});
  Table.finish({"a", 1, 1}, {200, "", std::string(15, 'y'), std::nullopt});
  Table.finish({"a", 1, 2}, {200, "", std::string(17, 'z'), std::nullopt});
  EXPECT_EQ(start(0)->Answer.Failure, ErrorKind::AnswerTooLarge);
  EXPECT_EQ(start(1)->Answer.Body, std::string(15, 'y'));
  EXPECT_EQ(start(2)->Answer.Failure, ErrorKind::AnswerTooLarge);
  EXPECT_EQ(Table.answerBytes(), 15U);
}

TEST_F(TicketTableTest, SuccessorAnswersForTheBoot) {
  ASSERT_TRUE(Table.grant(3));
  EXPECT_EQ(start(0)->Decision, TicketDecision::Run);
  Table.finish({"a", 1, 0}, Answer);
  EXPECT_EQ(start(1)->Decision, TicketDecision::Run);
  TicketTable Successor("b", 2, Clk);
  for (const auto &Part : Table.exportTo("b", 2))
    EXPECT_TRUE(Successor.import(Part));
  EXPECT_EQ(kindOf(start(2)), ErrorKind::TicketOutcomeUnknown);
  const auto StartImported = [&](std::uint64_t Sequence) {
    return capture([&] {
      return Successor.start({"a", 1, Sequence}, Fingerprint);
    });
  };
  EXPECT_EQ(StartImported(0)->Answer, Answer);
  EXPECT_EQ(kindOf(StartImported(1)), ErrorKind::TicketOutcomeUnknown);
  EXPECT_EQ(StartImported(2)->Decision, TicketDecision::Run);
}

// A table larger than a frame must not be used before all parts have arrived.
TEST(TicketHandover, IncompleteTableRunsNothing) {
  const ManualClock Clk;
  TicketTable Exporter("a", 1, Clk);
  ASSERT_TRUE(Exporter.grant(20'000));
  for (std::uint64_t I = 0; I < 19'000; ++I)
    ASSERT_TRUE(Exporter.start({"a", 1, I}, Fingerprint));
  const auto Parts = Exporter.exportTo("b", 2);
  ASSERT_GT(Parts.size(), 1U);
  TicketTable Importer("b", 2, Clk);
  ASSERT_TRUE(Importer.import(Parts[0]));
  EXPECT_LE(wire::encode(Parts[0]).size(), wire::MaxFrameBytes);
  EXPECT_FALSE(Importer.answersFor("a", 1));
  const auto Early = capture([&] {
    return Importer.start({"a", 1, 19'500}, Fingerprint);
  });
  EXPECT_EQ(Early.Failure.Kind, ErrorKind::TicketOutcomeUnknown);
}

// A malformed range would wrap around or fill the table permanently.
TEST(TicketHandover, RangesAreBounded) {
  const ManualClock Clk;
  TicketTable Importer("b", 2, Clk, {.MaxTickets = 10});
  for (const wire::TicketRange &Range :
       {wire::TicketRange{0, 0, {}}, wire::TicketRange{0, 11, {}},
        wire::TicketRange{~0ULL, 5, {}}}) {
    wire::TicketTableHandover Part{"a", 1, "b", 2, 1, 0, 1, {Range}, {}};
    const auto Failure = errorOf([&] { return Importer.import(Part); });
    ASSERT_TRUE(Failure);
    EXPECT_EQ(Failure->Kind, ErrorKind::InvalidDocument);
  }
  EXPECT_EQ(Importer.size(), 0U);
}

/// Daemons with their tables, messages that are delayed, repeated or lost, and
/// a count of runs for each ticket.
struct FleetModel {
  static constexpr std::size_t Daemons = 4;
  struct Running {
    std::size_t Daemon;
    BootId Boot;
    Ticket Value;
  };

  ManualClock Clk;
  BootId NextBoot = 1;
  std::array<BootId, Daemons> Boots{};
  std::array<std::unique_ptr<TicketTable>, Daemons> Tables;
  std::vector<Ticket> Granted;
  std::vector<Running> Active;
  std::vector<wire::TicketTableHandover> SentParts;
  std::map<std::string, int> Runs; ///< By ticket text.
  std::size_t Replays = 0;

  FleetModel() {
    for (std::size_t I = 0; I < Daemons; ++I)
      restart(I);
  }
  static DaemonName nameOf(std::size_t I) {
    return std::string(1, char('a' + I));
  }

  void restart(std::size_t I) {
    Boots.at(I) = NextBoot++;
    Tables.at(I) = std::make_unique<TicketTable>(
        nameOf(I), Boots.at(I), Clk, TicketTableOptions{.MaxTickets = 64});
  }
  void grant(std::size_t I) {
    const auto Range = capture([&] { return Tables.at(I)->grant(2); });
    for (std::uint64_t S = 0; Range && S < Range->Count; ++S)
      Granted.push_back({nameOf(I), Boots.at(I), Range->First + S});
  }
  /// Sends a ticket to any daemon, like a misdirected resend.
  void send(std::size_t I, std::size_t Pick) {
    if (Granted.empty())
      return;
    const auto &Value = Granted[Pick % Granted.size()];
    const auto Start =
        capture([&] { return Tables.at(I)->start(Value, Fingerprint); });
    if (Start && Start->Decision == TicketDecision::Run) {
      ++Runs[toString(Value)];
      Active.push_back({I, Boots.at(I), Value});
    }
    Replays += Start && Start->Decision == TicketDecision::Replay ? 1 : 0;
  }
  void end(std::size_t Pick, bool Ran) {
    if (Active.empty())
      return;
    const auto Position =
        Active.begin() + static_cast<long>(Pick % Active.size());
    const auto Ended = *Position;
    Active.erase(Position);
    if (!Ran)
      --Runs[toString(Ended.Value)];
    if (Boots.at(Ended.Daemon) != Ended.Boot)
      return;
    if (Ran)
      Tables.at(Ended.Daemon)->finish(Ended.Value, Answer);
    else
      Tables.at(Ended.Daemon)->release(Ended.Value);
  }
  void handOver(std::size_t Exporter, std::size_t Successor) {
    for (auto &Part :
         Tables.at(Exporter)->exportTo(nameOf(Successor), Boots.at(Successor)))
      SentParts.push_back(std::move(Part));
  }
  /// Delivers one part, which is kept and may be delivered again.
  void deliver(std::size_t Pick) {
    if (SentParts.empty())
      return;
    const auto &Part = SentParts[Pick % SentParts.size()];
    const auto Receiver = static_cast<std::size_t>(Part.Successor[0] - 'a');
    (void)capture([&] { return Tables.at(Receiver)->import(Part); });
  }
  /// Hand-overs and restarts are rarer than resends, because both end a table.
  void act(int Kind, std::size_t A, std::size_t B) {
    const auto I = A % Daemons;
    const bool Rare = A % 16 == 0;
    if (Kind == 0)
      grant(I);
    else if (Kind == 1 || Kind == 2)
      end(B, Kind == 1);
    else if (Kind == 3 && Rare)
      handOver(B % Daemons, B / Daemons % Daemons);
    else if (Kind == 4 && Rare)
      restart(B % Daemons);
    else if (Kind == 5 && Rare)
      Clk.advance(std::chrono::minutes(B % 8));
    else if (Kind <= 5)
      deliver(B);
    else
      send(I, B);
  }
};

// Counts the runs of each ticket over home and other daemons, resends, restarts
// with an empty table, lost and repeated hand-over parts, and second
// successors.
TEST(TicketFuzz, NoTicketRunsTwice) {
  std::size_t TotalRuns = 0;
  std::size_t TotalReplays = 0;
  EXPECT_TRUE(rc::check("no ticket runs twice", [&] {
    FleetModel Fleet;
    using Step = std::tuple<int, std::size_t, std::size_t>;
    const auto Steps = *rc::gen::resize(
        rc::kNominalSize,
        rc::gen::container<std::vector<Step>>(
            400, rc::gen::tuple(rc::gen::inRange(0, 10),
                                rc::gen::inRange<std::size_t>(0, 64),
                                rc::gen::inRange<std::size_t>(0, 4096))));
    for (const auto &[Kind, A, B] : Steps) {
      Fleet.act(Kind, A, B);
      for (const auto &[Value, Count] : Fleet.Runs)
        RC_ASSERT(Count <= 1);
    }
    TotalRuns += Fleet.Runs.size();
    TotalReplays += Fleet.Replays;
  }));
  // Without runs and replays, the property would hold trivially.
  EXPECT_GT(TotalRuns, 1000U);
  EXPECT_GT(TotalReplays, 100U);
}

} // namespace
} // namespace nutmegdrift::policy
