// Guards the object API over loopback: mapping of failures to error kinds,
// bounded waits, and the fault switches of the fake platform.
#include "fake_platform_server.h"
#include "nutmegdrift/platform/http_object_store.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <gtest/gtest.h>

#include <thread>

namespace nutmegdrift::platform {
namespace {

using namespace std::chrono_literals;

class HttpObjectStoreTest : public ::testing::Test {
protected:
  template <class Call> ErrorKind kindOf(Call &&Attempt) {
    const auto Failure = errorOf(Attempt);
    EXPECT_TRUE(Failure);
    return Failure ? Failure->Kind : ErrorKind::Internal;
  }

  void post(const std::string &Body) {
    Poco::Net::HTTPClientSession Session("127.0.0.1", m_fake.port());
    Poco::Net::HTTPRequest Head("POST", "/faults");
    Head.setContentLength(static_cast<int>(Body.size()));
    Session.sendRequest(Head) << Body;
    Poco::Net::HTTPResponse Answer;
    Session.receiveResponse(Answer);
    EXPECT_EQ(Answer.getStatus(), 200);
  }

  fakes::FakePlatformServer m_fake{0};
  HttpObjectStore m_store{{.Address = {"127.0.0.1", m_fake.port()},
                           .ConnectTimeout = 300ms,
                           .CallTimeout = 300ms}};
};

TEST_F(HttpObjectStoreTest, WritesReadsListsAndRemoves) {
  const auto First = capture([&] { return m_store.put("a/x?&%", "{1}", 0); });
  ASSERT_TRUE(First) << First.Failure.Message;
  EXPECT_EQ(*capture([&] { return m_store.get("a/x?&%"); }),
            (Object{"a/x?&%", *First, "{1}"}));
  EXPECT_EQ(kindOf([&] { return m_store.put("a/x?&%", "", 0); }),
            ErrorKind::Conflict);
  EXPECT_TRUE(capture([&] { return m_store.put("b", "", 0); }));
  const auto All = capture([&] { return m_store.list("a/"); });
  ASSERT_TRUE(All);
  ASSERT_EQ(All->Objects.size(), 1U);
  EXPECT_EQ(All->Revision, 2U);
  EXPECT_FALSE(errorOf([&] { return m_store.remove("a/x?&%", *First); }));
  EXPECT_EQ(kindOf([&] { return m_store.get("a/x?&%"); }), ErrorKind::NotFound);
  const auto Seen = capture([&] { return m_store.watch("a/", *First, 0ms); });
  ASSERT_TRUE(Seen);
  ASSERT_EQ(Seen->Items.size(), 1U);
  EXPECT_TRUE(Seen->Items[0].Deleted);
}

TEST_F(HttpObjectStoreTest, WatchWaitsForAChange) {
  std::jthread Writer([&] {
    std::this_thread::sleep_for(400ms);
    EXPECT_TRUE(capture([&] { return m_store.put("k", "v", 0); }));
  });
  // The wait is longer than the call timeout; it must not end the watch.
  const auto Seen = capture([&] { return m_store.watch("k", 0, 5s); });
  ASSERT_TRUE(Seen) << Seen.Failure.Message;
  ASSERT_EQ(Seen->Items.size(), 1U);
  EXPECT_EQ(Seen->Items[0].Value.Text, "v");
}

// Calling a write failed although it took effect would repeat it.
TEST_F(HttpObjectStoreTest, LostAnswerIsUnknownOutcome) {
  post(R"({"lose_write_answer":true})");
  EXPECT_EQ(kindOf([&] { return m_store.put("k", "v", 0); }),
            ErrorKind::PlatformOutcomeUnknown);
  post(R"({"lose_write_answer":false})");
  EXPECT_EQ(capture([&] { return m_store.get("k"); })->Text, "v");
}

TEST_F(HttpObjectStoreTest, SlowPlatformIsBounded) {
  post(R"({"slow_ms":900})");
  const auto Start = std::chrono::steady_clock::now();
  EXPECT_EQ(kindOf([&] { return m_store.get("k"); }),
            ErrorKind::PlatformUnavailable);
  EXPECT_EQ(kindOf([&] { return m_store.put("k", "v", 0); }),
            ErrorKind::PlatformOutcomeUnknown);
  EXPECT_LT(std::chrono::steady_clock::now() - Start, 1500ms);
}

TEST_F(HttpObjectStoreTest, DownGapAndStaleReads) {
  EXPECT_TRUE(capture([&] { return m_store.put("k", "old", 0); }));
  EXPECT_TRUE(capture([&] { return m_store.put("k", "new", 1); }));
  post(R"({"stale_reads":true,"watch_gap":1})");
  EXPECT_EQ(capture([&] { return m_store.get("k"); })->Text, "old");
  EXPECT_EQ(kindOf([&] { return m_store.watch("", 2, 0ms); }),
            ErrorKind::Conflict);
  EXPECT_TRUE(capture([&] { return m_store.watch("", 2, 0ms); }));
  post(R"({"down":true})");
  EXPECT_EQ(kindOf([&] { return m_store.put("k", "x", 2); }),
            ErrorKind::PlatformUnavailable);
  EXPECT_EQ(kindOf([&] { return m_store.list(""); }),
            ErrorKind::PlatformUnavailable);
}

// Nothing was sent, so the write may be repeated without reading back.
TEST(HttpObjectStore, RefusedConnectionIsUnavailable) {
  std::uint16_t Port = 0;
  {
    const Poco::Net::ServerSocket Free(
        Poco::Net::SocketAddress("127.0.0.1", 0));
    Port = Free.address().port();
  }
  HttpObjectStore Store({.Address = {"127.0.0.1", Port}});
  EXPECT_EQ(errorOf([&] { return Store.put("k", "v", 0); })->Kind,
            ErrorKind::PlatformUnavailable);
}

// A body shorter than announced must not be taken as the object's text.
TEST(HttpObjectStore, TruncatedAndMalformedAnswersAreErrors) {
  const std::string Head = "HTTP/1.1 200 OK\r\nX-Object-Version: 1\r\n";
  for (const auto &Answer :
       {Head + "Content-Length: 10\r\n\r\nabc", Head, std::string("junk\r\n"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"),
        std::string("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")}) {
    Poco::Net::ServerSocket Socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    std::jthread Server([&] {
      auto Peer = Socket.acceptConnection();
      std::array<char, 4096> Request{};
      Peer.receiveBytes(Request.data(), Request.size());
      Peer.sendBytes(Answer.data(), static_cast<int>(Answer.size()));
      Peer.shutdownSend();
    });
    HttpObjectStore Store({.Address = {"127.0.0.1", Socket.address().port()},
                           .CallTimeout = 500ms});
    const auto Failure = errorOf([&] { return Store.get("k"); });
    ASSERT_TRUE(Failure) << Answer;
    EXPECT_EQ(Failure->Kind, ErrorKind::PlatformUnavailable) << Answer;
  }
}

// Other numbers than those of a refusal say nothing of a write. Taken for one,
// a write that took effect was reported as failed.
TEST(HttpObjectStore, AStatusThatIsNoRefusalLeavesTheOutcomeOfAWriteOpen) {
  for (const char *Status : {"000", "099", "101", "302", "600", "999"}) {
    Poco::Net::ServerSocket Socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    std::jthread Server([&] {
      auto Peer = Socket.acceptConnection();
      std::array<char, 4096> Request{};
      Peer.receiveBytes(Request.data(), Request.size());
      const std::string Answer = std::string("HTTP/1.1 ") + Status +
                                 " No\r\nContent-Length: 0\r\n\r\n";
      Peer.sendBytes(Answer.data(), static_cast<int>(Answer.size()));
      Peer.shutdownSend();
    });
    HttpObjectStore Store({.Address = {"127.0.0.1", Socket.address().port()},
                           .CallTimeout = 500ms});
    const auto Failure = errorOf([&] { return Store.put("k", "v", 1); });
    ASSERT_TRUE(Failure) << Status;
    EXPECT_EQ(Failure->Kind, ErrorKind::PlatformOutcomeUnknown) << Status;
  }
}

} // namespace
} // namespace nutmegdrift::platform
