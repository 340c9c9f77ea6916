// Tests of the error table, identifier parsing and the event ring.
#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/error.h"
#include "nutmegdrift/base/event_log.h"
#include "nutmegdrift/base/identifiers.h"
#include "nutmegdrift/base/uri.h"

#include <gtest/gtest.h>

#include <set>

namespace nutmegdrift {
namespace {

// With duplicate names callers could not distinguish two errors.
TEST(ErrorTable, NamesAreUniqueAndParsable) {
  std::set<std::string_view> Names;
  for (std::size_t I = 0; I < ErrorKindCount; ++I) {
    const auto Kind = static_cast<ErrorKind>(I);
    Names.insert(answerFor(Kind).Name);
    EXPECT_EQ(parseErrorKind(answerFor(Kind).Name), Kind);
  }
  EXPECT_EQ(Names.size(), ErrorKindCount);
}

TEST(ErrorResult, KeepsTheErrorAcrossCapture) {
  const auto Outcome = capture([]() -> Result<int> {
    return fail(ErrorKind::QueueFull, "100 waiting");
  });
  ASSERT_FALSE(Outcome);
  EXPECT_EQ(Outcome.Failure, (Error{ErrorKind::QueueFull, "100 waiting"}));
  const auto Good = capture([]() -> Result<int> { return 7; });
  EXPECT_EQ(*Good, 7);
}

TEST(Identifiers, RoundTrip) {
  const Ticket Value{"cph1.a", 0xabcdef, 42};
  EXPECT_EQ(parseTicket(toString(Value)), Value);
  EXPECT_EQ(parseTarget("model:small"), (Target{Target::Kind::Model, "small"}));
  EXPECT_EQ(parseHostPort("127.0.0.1:8080"), (HostPort{"127.0.0.1", 8080}));
}

TEST(Identifiers, RejectMalformedText) {
  for (const auto *Text : {"", ".", "a.b", "a..1", "a.zz.1", "a.1.x", ".1.1"})
    EXPECT_FALSE(parseTicket(Text)) << Text;
  for (const auto *Text : {"", "model:", "other:x", "model"})
    EXPECT_FALSE(parseTarget(Text)) << Text;
  for (const auto *Text : {"", ":1", "h:", "h:70000", "h:-1"})
    EXPECT_FALSE(parseHostPort(Text)) << Text;
}

// A name that ends a value, or the request line, makes a server read another
// name.
TEST(Uri, EncodesWhatHasAMeaningOfItsOwn) {
  EXPECT_EQ(encodeUriComponent("i-0.a_b~9"), "i-0.a_b~9");
  EXPECT_EQ(encodeUriComponent("&=+#%? /;\r\n"),
            "%26%3D%2B%23%25%3F%20%2F%3B%0D%0A");
  EXPECT_EQ(encodeUriComponent(std::string_view("\0\xff", 2)), "%00%FF");
  EXPECT_EQ(encodeUriPath("zone/a b"), "zone/a%20b");
}

// Guards against a ring that grows as long as the daemon runs.
TEST(EventLog, KeepsOnlyTheLatest) {
  const ManualClock Clk;
  EventLog Log(Clk, "test", false);
  for (std::size_t I = 0; I < EventLog::RingSize + 10; ++I)
    Log.event("tick", {});
  EXPECT_EQ(Log.since(0).size(), EventLog::RingSize);
  EXPECT_EQ(Log.since(0).front().Sequence, 11U);
}

// A value with a line break must not forge a second log line.
TEST(EventLog, QuotesValues) {
  const Event Entry{.Name = "e", .Fields = {{"k", "a \"b\"\nevent=x"}}};
  EXPECT_EQ(formatEvent(Entry), "event=e k=\"a \\\"b\\\" event=x\"");
}

} // namespace
} // namespace nutmegdrift
