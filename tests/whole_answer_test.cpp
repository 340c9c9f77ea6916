// Whole answers (P1): endpoints and daemons that die, silent connections, cut
// service answers and many concurrent callers.
#include "support/loopback_fleet.h"

#include <gtest/gtest.h>

#include <csignal>
#include <functional>

namespace nutmegdrift::testing {
namespace {

using nlohmann::json;

const Target Model{Target::Kind::Model, "small"};
const Target Service{Target::Kind::Service, "register"};
constexpr std::size_t Daemons = 3;
constexpr std::chrono::seconds CallTimeout{45};
/// About two seconds of streaming at the engine's 5 ms a token.
constexpr int LongStream = 400;

std::vector<HttpAnswer>
atOnce(std::size_t Count, const std::function<HttpAnswer(std::size_t)> &Call) {
  std::vector<HttpAnswer> Out(Count);
  std::vector<std::thread> Threads;
  for (std::size_t I = 0; I < Count; ++I)
    Threads.emplace_back([&, I] { Out[I] = Call(I); });
  for (auto &One : Threads)
    One.join();
  return Out;
}

/// What the token events of one stream say.
struct Stream {
  int Tokens = 0;
  int Foreign = 0; ///< Events of another request, or out of order.
  bool Done = false;
  bool Failed = false; ///< Holds an error event.
};

Stream readStream(const HttpAnswer &Answer) {
  Stream Out;
  const auto Id = Answer.Headers.find("X-Request-Id");
  std::size_t At = 0;
  while (At < Answer.Body.size()) {
    const auto End = std::min(Answer.Body.find("\n\n", At), Answer.Body.size());
    const auto Event = Answer.Body.substr(At, End - At);
    At = End + 2;
    if (Event == "data: [DONE]")
      Out.Done = true;
    else if (Event.starts_with("event: error"))
      Out.Failed = true;
    else if (const auto Token = json::parse(Event.substr(5), nullptr, false);
             !Token.is_object() || Id == Answer.Headers.end() ||
             Token.value("id", "") != Id->second ||
             Token.value("index", -1) != Out.Tokens)
      ++Out.Foreign;
    else
      ++Out.Tokens;
  }
  return Out;
}

/// A stream is either whole, or refused, or visibly cut; its events are its
/// own in every case. A last event that was cut inside counts as foreign, so
/// cut streams are checked up to there.
void expectOwnStream(const HttpAnswer &Answer, int Tokens) {
  if (Answer.Status != 200)
    return;
  const auto Got = readStream(Answer);
  EXPECT_LE(Got.Foreign, Answer.Whole ? 0 : 1) << Answer.Body;
  EXPECT_EQ(Got.Done, Answer.Whole) << Answer.Body;
  if (Got.Done) {
    EXPECT_EQ(Got.Tokens, Tokens);
    EXPECT_FALSE(Got.Failed);
  }
}

HttpAnswer stream(const FleetDaemon &At, int Tokens,
                  const std::string &Prompt = "hello") {
  return call({.Port = At.CallerPort,
               .Method = "POST",
               .Path = "/v1/completions",
               .Headers = {{"X-Workspace", "alpha"}},
               .Body = json{{"model", "small"},
                            {"prompt", Prompt},
                            {"max_tokens", Tokens},
                            {"stream", true}}
                           .dump(),
               .Timeout = CallTimeout});
}

HttpAnswer ask(const FleetDaemon &At, const std::string &Body) {
  return call({.Port = At.CallerPort,
               .Method = "GET",
               .Path = "/v1/services/register/entries",
               .Headers = {{"X-Workspace", "alpha"}},
               .Body = Body,
               .Timeout = CallTimeout});
}

std::string field(const HttpAnswer &Answer, const char *Name) {
  const auto Body = Answer.json();
  return Body.is_object() ? Body.value(Name, "") : "";
}

class WholeAnswer : public ::testing::Test {
protected:
  WholeAnswer() {
    m_fleet.addEndpoint({.Id = "e1", .What = Model, .Bears = 8});
    m_fleet.addEndpoint({.Id = "s1", .What = Service, .Bears = 8});
    for (std::size_t I = 1; I <= Daemons; ++I)
      m_fleet.addDaemon("d" + std::to_string(I), "z" + std::to_string(I));
  }

  void SetUp() override { ASSERT_TRUE(m_fleet.waitForOwners()); }

  bool waitTokens(int Count) {
    return eventually(20, [&] {
      for (const auto &Run : LoopbackFleet::runs(m_fleet.endpoint(0))
                                 .value("runs", nlohmann::json::array()))
        if (Run.at("outcome") == "running" && Run.at("tokens") >= Count)
          return true;
      return false;
    });
  }
  std::size_t ownerOf(const std::string &Replica) {
    for (std::size_t I = 0; I < Daemons; ++I)
      for (const auto &One :
           call({.Port = m_fleet.daemon(I).AdminPort, .Path = "/admin/status"})
               .json()
               .value("owned", json::array()))
        if (One.at("replica") == Replica)
          return I;
    return Daemons;
  }
  /// Streams through the daemon, and causes the fault once tokens flow.
  HttpAnswer streamAndCause(const FleetDaemon &At,
                            const std::function<void()> &Fault) {
    HttpAnswer Out;
    std::thread Caller([&] { Out = stream(At, LongStream); });
    EXPECT_TRUE(waitTokens(10));
    Fault();
    Caller.join();
    return Out;
  }
  static void expectCut(const HttpAnswer &Answer) {
    EXPECT_EQ(Answer.Status, 200) << Answer.Body;
    EXPECT_FALSE(Answer.Whole);
    EXPECT_FALSE(readStream(Answer).Done) << Answer.Body;
    expectOwnStream(Answer, LongStream);
  }

  LoopbackFleet m_fleet;
};

// Answers that overtake each other, over relays and shared peer connections,
// must each reach their own caller.
TEST_F(WholeAnswer, ConcurrentCallersGetTheirOwnAnswers) {
  constexpr std::size_t Callers = 48;
  const auto Tokens = [](std::size_t I) {
    return 5 + 3 * static_cast<int>(I % 7);
  };
  const auto Answers = atOnce(Callers, [&](std::size_t I) {
    const auto &At = m_fleet.daemon(I % Daemons);
    return I % 2 == 0 ? stream(At, Tokens(I), "p" + std::to_string(I))
                      : ask(At, "body-" + std::to_string(I));
  });
  for (std::size_t I = 0; I < Callers; ++I) {
    ASSERT_EQ(Answers[I].Status, 200) << Answers[I].Body;
    EXPECT_TRUE(Answers[I].Whole);
    if (I % 2 == 0) {
      expectOwnStream(Answers[I], Tokens(I));
      continue;
    }
    const auto Body = Answers[I].json();
    EXPECT_EQ(Body.at("body"), "body-" + std::to_string(I));
    EXPECT_EQ(Body.at("request_id"), Answers[I].Headers.at("X-Request-Id"));
  }
}

// An endpoint that dies mid-stream must not leave a stream that looks whole,
// at its owner or through a relay.
TEST_F(WholeAnswer, EndpointCutsItsStream) {
  LoopbackFleet::faults(m_fleet.endpoint(0), {{"cut_after_tokens", 7}});
  for (std::size_t I = 0; I < Daemons; ++I) {
    const auto Answer = stream(m_fleet.daemon(I), 20);
    EXPECT_EQ(Answer.Status, 200);
    EXPECT_FALSE(Answer.Whole);
    const auto Got = readStream(Answer);
    EXPECT_FALSE(Got.Done) << Answer.Body;
    EXPECT_TRUE(Got.Failed) << Answer.Body;
    EXPECT_EQ(Got.Tokens, 7);
    EXPECT_EQ(Got.Foreign, 0);
  }
}

// A cut service answer must be refused before its first byte goes out, since
// the caller may not be told that a part is the whole.
TEST_F(WholeAnswer, ServiceCutsItsAnswer) {
  LoopbackFleet::faults(m_fleet.endpoint(1), {{"cut_after_tokens", 9}});
  for (std::size_t I = 0; I < Daemons; ++I) {
    const auto Answer = ask(m_fleet.daemon(I), "body");
    EXPECT_EQ(Answer.Status, 502) << Answer.Body;
    ASSERT_TRUE(Answer.json().is_object()) << Answer.Body;
    EXPECT_EQ(Answer.json().value("state", ""), "unknown");
  }
}

// A service in trouble answered with the status 000 and others that HTTP does
// not have, and the caller got them as answers.
TEST_F(WholeAnswer, AStatusThatIsNoFinalStatusIsAFailure) {
  for (const char *Status : {"0", "000", "099", "101", "600", "999"}) {
    for (const char *Body :
         {"Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n"
                                         "2\r\nok\r\n0\r\n\r\n"}) {
      LoopbackFleet::faults(m_fleet.endpoint(1),
                            {{"raw_answer", std::string("HTTP/1.1 ") + Status +
                                                " OK\r\n" + Body}});
      const auto Answer = ask(m_fleet.daemon(0), "body");
      EXPECT_EQ(Answer.Status, 502) << Status << " " << Body;
      EXPECT_EQ(field(Answer, "state"), "unknown") << Status << " " << Body;
    }
  }
}

// An interim answer is none of the final ones, of which one follows.
TEST_F(WholeAnswer, InterimAnswersAreSkipped) {
  const std::string Final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  std::string Interim;
  for (const char *Status : {"100 Continue", "102 Processing", "103 Hints"})
    Interim += std::string("HTTP/1.1 ") + Status + "\r\n\r\n";
  LoopbackFleet::faults(m_fleet.endpoint(1), {{"raw_answer", Interim + Final}});
  const auto Answer = ask(m_fleet.daemon(0), "body");
  EXPECT_EQ(Answer.Status, 200) << Answer.Body;
  EXPECT_EQ(Answer.Body, "ok");
}

// A service answered a long upload at once, without a length, and reset the
// connection: the part that arrived must not pass for the whole.
TEST_F(WholeAnswer, AnEarlyAnswerWithoutALengthThatIsResetIsAFailure) {
  LoopbackFleet::faults(
      m_fleet.endpoint(1),
      {{"raw_early", true}, {"raw_answer", "HTTP/1.1 200 OK\r\n\r\npart"}});
  constexpr std::size_t UploadBytes = 1U << 19U;
  for (std::size_t I = 0; I < Daemons; ++I) {
    const auto Answer = ask(m_fleet.daemon(I), std::string(UploadBytes, 'x'));
    EXPECT_EQ(Answer.Status, 502) << Answer.Body;
  }
}

// A connection that goes silent for good must be given up after its progress
// deadline while new connections to the same endpoint work.
TEST_F(WholeAnswer, SilentStreamEndsWhileNewOnesWork) {
  HttpAnswer Meanwhile;
  const auto &At = m_fleet.daemon(0);
  const auto Answer = streamAndCause(At, [&] {
    LoopbackFleet::faults(m_fleet.endpoint(0), {{"silent", true}});
    Meanwhile = stream(At, 5);
  });
  expectCut(Answer);
  EXPECT_TRUE(readStream(Answer).Failed) << Answer.Body;
  EXPECT_EQ(Meanwhile.Status, 200) << Meanwhile.Body;
  expectOwnStream(Meanwhile, 5);
}

// The daemon that a caller is connected to dies mid-stream.
TEST_F(WholeAnswer, EntryDaemonKilledMidStream) {
  const auto Entry = (ownerOf("e1") + 1) % Daemons;
  expectCut(streamAndCause(m_fleet.daemon(Entry), [&] {
    m_fleet.daemon(Entry).Process->signal(SIGKILL);
  }));
}

// The daemon that owns the replica dies while another one relays its stream.
TEST_F(WholeAnswer, OwnerKilledMidStream) {
  const auto Owner = ownerOf("e1");
  const auto Answer =
      streamAndCause(m_fleet.daemon((Owner + 1) % Daemons),
                     [&] { m_fleet.daemon(Owner).Process->signal(SIGKILL); });
  expectCut(Answer);
  EXPECT_TRUE(readStream(Answer).Failed) << Answer.Body;
}

} // namespace
} // namespace nutmegdrift::testing
