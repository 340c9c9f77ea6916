// A token bucket for each class, and the non-blocking sink.
#include "nutmegdrift/base/decision_log.h"

#include <algorithm>
#include <memory>

#include <fcntl.h>
#include <unistd.h>

namespace nutmegdrift {

namespace {

/// A burst may have as many lines as the rate allows in this many seconds.
constexpr double BurstSeconds = 2.0;

std::string quotedValue(std::string_view Value) {
  if (!Value.empty() &&
      Value.find_first_of(" \"=\n\r\\") == std::string_view::npos)
    return std::string(Value);
  std::string Out = "\"";
  for (const char C : Value) {
    if (C == '"' || C == '\\')
      Out += '\\';
    Out += C == '\n' || C == '\r' ? ' ' : C;
  }
  return Out + "\"";
}

} // namespace

DecisionLog::DecisionLog(const Clock &Clk, std::string Process,
                         LogBudget Budget, Sink Write)
    : m_clock(Clk), m_process(std::move(Process)), m_write(std::move(Write)) {
  const std::pair<LogClass, double> Rates[] = {
      {LogClass::Request, Budget.RequestLines},
      {LogClass::State, Budget.StateLines},
      {LogClass::Fault, Budget.FaultLines}};
  for (const auto &[Class, Rate] : Rates)
    m_buckets[Class] = {.PerSecond = Rate,
                        .Tokens = Rate * BurstSeconds,
                        .Refilled = Clk.now()};
}

bool DecisionLog::refill(Bucket &Source) {
  const TimePoint Now = m_clock.now();
  const double Elapsed =
      std::chrono::duration<double>(Now - Source.Refilled).count();
  Source.Refilled = Now;
  Source.Tokens = std::min(Source.Tokens + Elapsed * Source.PerSecond,
                           Source.PerSecond * BurstSeconds);
  return Source.Tokens >= 1.0;
}

void DecisionLog::countSuppressed(Bucket &Source) {
  ++Source.Suppressed;
  ++m_suppressed;
}

bool DecisionLog::suppress(LogClass Class) {
  Bucket &ClassBucket = m_buckets[Class];
  if (refill(ClassBucket))
    return false;
  countSuppressed(ClassBucket);
  return true;
}

void DecisionLog::line(LogClass Class, std::string_view Event,
                       std::initializer_list<Field> Fields) {
  Bucket &ClassBucket = m_buckets[Class];
  if (!refill(ClassBucket)) {
    countSuppressed(ClassBucket);
    return;
  }
  ClassBucket.Tokens -= 1.0;
  const auto Micros = std::chrono::duration_cast<std::chrono::microseconds>(
                          m_clock.wallNow().time_since_epoch())
                          .count();
  std::string Line = "time_us=" + std::to_string(Micros) +
                     " process=" + m_process + " event=" + std::string(Event);
  for (const Field &Item : Fields) {
    Line += ' ';
    Line += Item.Key;
    Line += '=';
    Line += quotedValue(Item.Value);
  }
  if (ClassBucket.Suppressed > 0)
    Line += " left_out=" + std::to_string(ClassBucket.Suppressed);
  Line += '\n';
  if (m_write(Line)) {
    ClassBucket.Suppressed = 0;
    return;
  }
  countSuppressed(ClassBucket);
}

DecisionLog::Sink nonBlockingSink(int Descriptor) {
  const int Flags = ::fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    ::fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
  // The rest of a partially written line is written first.
  auto Rest = std::make_shared<std::string>();
  return [Descriptor, Rest](std::string_view Line) {
    if (!Rest->empty()) {
      const ssize_t Sent = ::write(Descriptor, Rest->data(), Rest->size());
      if (Sent > 0)
        Rest->erase(0, static_cast<std::size_t>(Sent));
      if (!Rest->empty())
        return false;
    }
    const ssize_t Sent = ::write(Descriptor, Line.data(), Line.size());
    if (Sent < 0)
      return false;
    Rest->assign(Line.substr(static_cast<std::size_t>(Sent)));
    return true;
  };
}

} // namespace nutmegdrift
