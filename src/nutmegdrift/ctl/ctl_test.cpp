// Guards the operator's commands: exit codes, races between operators, lost
// answers, and the order of the time line.
#include "nutmegdrift/ctl/commands.h"
#include "nutmegdrift/ctl/config_change.h"
#include "nutmegdrift/platform/memory_object_store.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <sstream>

namespace nutmegdrift::ctl {
namespace {

using ::testing::HasSubstr;

const std::string Lists = std::string(NUTMEGDRIFT_EXAMPLES) + "/lists/";
const std::string Plans = Lists + "morgenklub-plans.yaml";
const std::string AccessFile = Lists + "morgenklub-access.yaml";

class FakeAdmin final : public AdminClient {
public:
  Result<std::string> get(const HostPort &Daemon,
                          const std::string &Path) override {
    const auto Found = Answers.find(toString(Daemon) + Path);
    if (Found == Answers.end())
      return fail(ErrorKind::PeerUnreachable, "refused");
    return Found->second;
  }
  std::map<std::string, std::string> Answers;
};

/// Calls Interfere once, directly before the first write reaches the store.
class RacingStore final : public platform::ObjectStore {
public:
  explicit RacingStore(platform::MemoryObjectStore &Inner) : m_inner(Inner) {}
  Result<platform::Object> get(const std::string &Name) override {
    return m_inner.get(Name);
  }
  Result<platform::Listing> list(const std::string &Prefix) override {
    return m_inner.list(Prefix);
  }
  Result<platform::ObjectVersion>
  put(const std::string &Name, const std::string &Text,
      platform::ObjectVersion Expected) override {
    if (auto Run = std::exchange(Interfere, nullptr))
      Run();
    auto Done = m_inner.put(Name, Text, Expected);
    if (auto Run = std::exchange(After, nullptr))
      Run();
    return Done;
  }
  Result<void> remove(const std::string &Name,
                      platform::ObjectVersion Expected) override {
    return m_inner.remove(Name, Expected);
  }
  Result<platform::Changes> watch(const std::string &Prefix,
                                  platform::ObjectVersion Revision,
                                  std::chrono::milliseconds Wait) override {
    return m_inner.watch(Prefix, Revision, Wait);
  }
  std::function<void()> Interfere; ///< Before the next write.
  std::function<void()> After;     ///< After the next write.

private:
  platform::MemoryObjectStore &m_inner;
};

class CtlTest : public ::testing::Test {
protected:
  CtlTest() {
    for (const auto *Name :
         {"model:letters-small", "model:letters-large", "service:register"})
      put(std::string("endpoints/") + Name,
          std::string(R"({"target":")") + Name +
              R"(","address":"10.0.0.1:80","zone":"cph1"})");
    put("fleet/cph2",
        R"({"members":[{"daemon":"b","host":"h2","adminPort":2},
            {"daemon":"a","host":"h1","adminPort":1,"state":"leaving"}]})");
  }

  void put(const std::string &Name, const std::string &Text) {
    const auto Old = capture([&] { return m_store.get(Name); });
    EXPECT_TRUE(capture(
        [&] { return m_store.put(Name, Text, Old ? Old->Version : 0); }));
  }

  ExitCode run(const std::vector<std::string> &Arguments,
               const std::string &User = "kim") {
    m_out.str("");
    m_problems.str("");
    return runCommand(Arguments,
                      {.Connect = [this](const HostPort &) { return m_racing; },
                       .Admin = m_admin,
                       .Time = m_clock,
                       .Rng = m_random,
                       .Out = m_out,
                       .Problems = m_problems,
                       .Sleep =
                           [this](Duration Time) {
                             m_clock.advance(Time);
                             if (m_onSleep)
                               m_onSleep();
                           },
                       .User = User});
  }

  config::ConfigDocument stored() {
    return *capture([&] { return readConfig(m_store); });
  }

  platform::MemoryObjectStore m_store;
  std::shared_ptr<RacingStore> m_racing =
      std::make_shared<RacingStore>(m_store);
  FakeAdmin m_admin;
  ManualClock m_clock;
  Random m_random{1};
  std::ostringstream m_out;
  std::ostringstream m_problems;
  std::function<void()> m_onSleep;
};

TEST_F(CtlTest, UsageAndHelp) {
  EXPECT_EQ(run({}), ExitCode::Usage);
  EXPECT_EQ(run({"--help"}), ExitCode::Done);
  for (const std::vector<std::string> &Bad :
       {std::vector<std::string>{"zone"},
        {"zone", "out"},
        {"status", "x"},
        {"zone", "out", "a", "b"},
        {"status", "--output", "xml"},
        {"status", "--colour"},
        {"status", "--platform", "x"},
        {"version", "start", "letters", "v2", "--finish-within", "2h"},
        {"version", "start", "model:letters-small", "v2"}})
    EXPECT_EQ(run(Bad), ExitCode::Usage) << Bad.back();
  for (const std::vector<std::string> &Path :
       {std::vector<std::string>{"config", "check"},
        {"config", "apply"},
        {"config", "show"},
        {"zone", "out"},
        {"zone", "in"},
        {"version", "start"},
        {"version", "watch"},
        {"version", "take-back"},
        {"status"},
        {"timeline"},
        {"completion", "bash"}}) {
    auto Arguments = Path;
    Arguments.emplace_back("--help");
    EXPECT_EQ(run(Arguments), ExitCode::Done);
    EXPECT_THAT(m_out.str(), HasSubstr("--output"));
  }
  EXPECT_EQ(run({"completion", "bash"}), ExitCode::Done);
  EXPECT_THAT(m_out.str(), HasSubstr("take-back"));
}

TEST_F(CtlTest, ChecksAndAppliesFiles) {
  EXPECT_EQ(run({"config", "check", Plans, AccessFile}), ExitCode::Done);
  EXPECT_EQ(run({"config", "check", AccessFile}), ExitCode::InvalidFile);
  EXPECT_THAT(m_problems.str(), HasSubstr("unknown plan"));
  EXPECT_EQ(run({"config", "check", "/nowhere"}), ExitCode::NotFound);
  EXPECT_EQ(run({"config", "apply", Plans, Lists + "lone-star-access.yaml"}),
            ExitCode::InvalidFile);
  EXPECT_THAT(m_problems.str(), HasSubstr("unknown target \"model:feed-plan"));
  EXPECT_EQ(run({"config", "apply", Plans, AccessFile}), ExitCode::Done);
  EXPECT_EQ(stored().LastChange.Author, "kim");
  EXPECT_EQ(run({"config", "apply", Plans, AccessFile}), ExitCode::Done);
  EXPECT_THAT(m_out.str(), HasSubstr("no change"));
  EXPECT_EQ(run({"config", "show", "--output", "json"}), ExitCode::Done);
  EXPECT_THAT(m_out.str(), HasSubstr("\"havnens-skole\""));
  EXPECT_EQ(run({"config", "apply", Plans, AccessFile, "--if-version", "1"}),
            ExitCode::LostRace);
}

// The loser must learn what won, and the winner's change must stay.
TEST_F(CtlTest, LostRaceNamesTheWinner) {
  EXPECT_EQ(run({"zone", "out", "cph1"}), ExitCode::Done);
  m_racing->Interfere = [&] {
    auto Next = stored();
    Next.Config.Zones.push_back({"cph2", true});
    Next.LastChange = {"robin", "zone cph2 added: out", 0, 99};
    put("config", config::printConfigDocument(Next));
  };
  EXPECT_EQ(run({"zone", "in", "cph1"}), ExitCode::LostRace);
  const auto Now = stored();
  EXPECT_EQ(Now.Config.Zones,
            (std::vector<config::ZoneSetting>{{"cph1", true}, {"cph2", true}}));
  for (const auto &Part :
       {"version " + std::to_string(Now.Config.Version), std::string("robin"),
        std::string("zone cph2 added: out")})
    EXPECT_THAT(m_problems.str(), HasSubstr(Part));
}

// A lost answer must neither repeat the change nor call it failed.
TEST_F(CtlTest, LostAnswerIsReadBack) {
  m_store.setFaults({.LoseWriteAnswer = true});
  EXPECT_EQ(run({"zone", "out", "cph1"}), ExitCode::Done);
  m_racing->After = [&] {
    m_store.setFaults({});
    put("config", config::printConfigDocument(
                      {stored().Config, {"robin", "other", 0, 99}}));
  };
  EXPECT_EQ(run({"zone", "in", "cph1"}), ExitCode::OutcomeUnknown);
  EXPECT_THAT(m_problems.str(), HasSubstr("robin"));
  m_store.setFaults({.Down = true});
  EXPECT_EQ(run({"zone", "in", "cph1"}), ExitCode::PlatformUnavailable);
}

TEST_F(CtlTest, ZoneHasToExist) {
  EXPECT_EQ(run({"zone", "out", "cph"}), ExitCode::NotFound);
  EXPECT_EQ(run({"zone", "out", "cph2"}), ExitCode::Done);
  EXPECT_EQ(run({"zone", "in", "cph2"}), ExitCode::Done);
  EXPECT_FALSE(stored().Config.Zones[0].Evacuated);
}

TEST_F(CtlTest, VersionMoves) {
  const std::string What = "model:letters-small";
  EXPECT_EQ(run({"version", "watch", What}), ExitCode::NotFound);
  EXPECT_EQ(
      run({"version", "start", "model:none", "v2", "--finish-within", "2h"}),
      ExitCode::NotFound);
  EXPECT_EQ(run({"version", "start", What, "v2", "--finish-within", "2h"}),
            ExitCode::Done);
  EXPECT_EQ(stored().Config.Versions[0].FinishWithin, std::chrono::hours(2));
  EXPECT_EQ(run({"version", "start", What, "v3", "--finish-within", "2h"}),
            ExitCode::LostRace);
  EXPECT_EQ(run({"version", "watch", What, "--timeout", "5s"}),
            ExitCode::TimedOut);
  const auto Order = stored().Config.Versions[0].Id;
  EXPECT_GT(Order, 0U);
  int Polls = 0;
  m_onSleep = [&] {
    if (++Polls == 1)
      put("rollout/" + What, R"({"phase":"done","version":"v1"})");
    else if (Polls == 2)
      m_store.setFaults({.Down = true});
    else if (Polls == 3) {
      m_store.setFaults({});
      put("rollout/" + What, R"({"phase":"taken-back","version":"v2",
          "order":)" + std::to_string(Order) +
                                 R"(,"share":0,"reason":"errors"})");
    }
  };
  EXPECT_EQ(run({"version", "watch", What}), ExitCode::TakenBack);
  EXPECT_THAT(m_out.str(), HasSubstr("v2 taken-back 0% (errors)"));
  EXPECT_EQ(run({"version", "start", What, "v3", "--finish-within", "2h"}),
            ExitCode::Done);
  EXPECT_EQ(run({"version", "take-back", What}), ExitCode::Done);
  EXPECT_TRUE(stored().Config.Versions[0].RollBack);
  // The same version again is a new order, or it would never start anew.
  const auto Third = stored().Config.Versions[0].Id;
  EXPECT_GT(Third, Order);
  EXPECT_EQ(run({"version", "start", What, "v3", "--finish-within", "2h"}),
            ExitCode::Done);
  EXPECT_GT(stored().Config.Versions[0].Id, Third);
  EXPECT_FALSE(stored().Config.Versions[0].RollBack);
}

TEST_F(CtlTest, StatusShowsMovesAndDaemons) {
  EXPECT_EQ(run({"zone", "out", "cph1"}), ExitCode::Done);
  m_admin.Answers["h1:1/admin/status"] = R"({"config_version":99})";
  EXPECT_EQ(run({"status"}), ExitCode::Partial);
  EXPECT_THAT(m_out.str(), HasSubstr("under way, 1 of 2 daemons"));
  EXPECT_THAT(m_out.str(), HasSubstr("no answer"));
  m_admin.Answers["h2:2/admin/status"] = R"({"config_version":99})";
  EXPECT_EQ(run({"status", "--output", "json"}), ExitCode::Done);
  EXPECT_THAT(m_out.str(), HasSubstr(R"("state":"done")"));
}

TEST_F(CtlTest, DutiesShowsTheHolderAndTheOrders) {
  EXPECT_EQ(run({"duties", "nowhere"}), ExitCode::Usage);
  EXPECT_EQ(run({"duties", "h1:9464"}), ExitCode::Failed);
  m_admin.Answers["h1:9464/duties"] = R"({"daemon":"a"})";
  EXPECT_EQ(run({"duties", "h1:9464"}), ExitCode::InvalidFile);
  m_admin.Answers["h1:9464/duties"] =
      R"({"daemon":"a","holder":"b","epoch":1002,"holds":false,"validMs":0,
          "rank":1,"decidedWindow":9,"acceptedWindow":8,"pendingWindows":[9],
          "overdueWindows":0,"orders":[{"service":"s","zone":"z","count":4,
          "accepted":true,"reason":"demand"}]})";
  EXPECT_EQ(run({"duties", "h1:9464"}), ExitCode::Done);
  EXPECT_THAT(m_out.str(), HasSubstr("holder                b\n"));
  EXPECT_THAT(m_out.str(), HasSubstr("4 accepted demand"));
  EXPECT_EQ(run({"duties", "h1:9464", "--output", "json"}), ExitCode::Done);
  EXPECT_THAT(m_out.str(), HasSubstr(R"("pendingWindows":[9])"));
}

TEST_F(CtlTest, TimelineMergesAndFilters) {
  m_admin.Answers["h1:1/admin/events"] = R"({"process":"a","events":[
    {"wall_us":1000000,"seq":1,"name":"x","fields":{"request":"r1"}},
    {"wall_us":3000000,"seq":2,"name":"z","fields":{"request":"r1"}}]})";
  m_admin.Answers["h2:2/admin/events"] = R"({"process":"b","events":[
    {"wall_us":2000000,"seq":9,"name":"y","fields":
      {"request":"r1","replica":"e1","workspace":"w"}},
    {"wall_us":2000000,"seq":8,"name":"w","fields":{"request":"r2"}}]})";
  EXPECT_EQ(run({"timeline", "--request", "r1"}), ExitCode::Done);
  EXPECT_EQ(m_out.str(),
            "1970-01-01T00:00:01.000000Z a event=x request=r1\n"
            "1970-01-01T00:00:02.000000Z b event=y replica=e1 request=r1 "
            "workspace=w\n"
            "1970-01-01T00:00:03.000000Z a event=z request=r1\n");
  EXPECT_EQ(run({"timeline", "--endpoint", "e1", "--workspace", "w"}),
            ExitCode::Done);
  EXPECT_THAT(m_out.str(), HasSubstr("event=y"));
  EXPECT_EQ(run({"timeline", "--daemons", "h1:1,h9:9"}), ExitCode::Partial);
  EXPECT_EQ(run({"timeline", "--daemons", "h1"}), ExitCode::Usage);
  m_admin.Answers["h1:1/admin/events"] = "[3]";
  EXPECT_EQ(run({"timeline"}), ExitCode::Partial);
}

// A request's course has to be found in logs that were saved from several VMs,
// when the daemons that wrote them are gone.
TEST_F(CtlTest, TimelineReadsSavedLogs) {
  const auto Save = [](const std::string &Name, const std::string &Text) {
    auto Path = ::testing::TempDir() + Name;
    std::ofstream(Path) << Text;
    return Path;
  };
  const auto A = Save("a.log", "starting\n"
                               "time_us=3000000 process=a event=z request=r1 "
                               "message=\"said \\\"no\\\" = late\"\n"
                               "time_us=1000000 process=a event=x request=r1\n"
                               "time_us=soon process=a event=x request=r1\n");
  const auto B =
      Save("b.log", "  3.01 vm-b time_us=2000000 process=b event=y "
                    "request=r1 cause=\n"
                    "time_us=2000000 process=b event=y request=r2\n");
  EXPECT_EQ(run({"timeline", "--request", "r1", "--logs", A + "," + B}),
            ExitCode::Done);
  EXPECT_EQ(m_out.str(),
            "1970-01-01T00:00:01.000000Z a event=x request=r1\n"
            "1970-01-01T00:00:02.000000Z b event=y request=r1 cause=\"\"\n"
            "1970-01-01T00:00:03.000000Z a event=z request=r1 "
            "message=\"said \\\"no\\\" = late\"\n");
  EXPECT_EQ(run({"timeline", "--logs", A + ".gone"}), ExitCode::NotFound);
}

} // namespace
} // namespace nutmegdrift::ctl
