#include "http_sink.h"

#include "nutmegdrift/proxy/http_frontend.h"

#include <Poco/Net/NetException.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace nutmegdrift::proxy {

namespace {

/// A blocking send returns at least this often to look at the write timeout.
constexpr std::chrono::milliseconds SendStep{500};

/// Bounds of what is read and thrown away after a refusal: eight times the
/// usual body bound, and two round trips over a slow link.
constexpr std::size_t MaxDiscarded = 4UL * 1024UL * 1024UL;
constexpr std::chrono::milliseconds DiscardTime{2000};

/// Kernel memory for bytes that a caller has not taken yet. The system's own
/// choice grows to megabytes, which slow callers on all threads could fill;
/// this is enough for 20 MB/s over the 3 ms to callers.
constexpr int SendBufferBytes = 64 * 1024;

std::string chunk(std::string_view Bytes) {
  std::array<char, 20> Size{};
  const int Length =
      std::snprintf(Size.data(), Size.size(), "%zx\r\n", Bytes.size());
  std::string Out;
  Out.reserve(Bytes.size() + static_cast<std::size_t>(Length) + 2);
  Out.append(Size.data(), static_cast<std::size_t>(Length));
  Out.append(Bytes).append("\r\n");
  return Out;
}

std::chrono::milliseconds retryAfter(const Error &Failure) {
  return Failure.RetryAfter.value_or(answerFor(Failure.Kind).RetryAfter);
}

/// Whole seconds for the Retry-After header, rounded up.
std::string retryAfterSeconds(const Error &Failure) {
  const auto Millis = retryAfter(Failure).count();
  return std::to_string((Millis + 999) / 1000);
}

} // namespace

std::string refusalBody(const Error &Failure, const std::string &RequestId,
                        const std::vector<HostPort> &Others) {
  const auto &Answer = answerFor(Failure.Kind);
  nlohmann::json Addresses = nlohmann::json::array();
  for (const auto &Other : Others)
    Addresses.push_back({{"host", Other.Host}, {"port", Other.Port}});
  const nlohmann::json Body = {{"error", Answer.Name},
                               {"state", toString(Answer.State)},
                               {"retry_after_ms", retryAfter(Failure).count()},
                               {"request_id", RequestId},
                               {"message", Failure.Message},
                               {"addresses", Addresses}};
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpSink::HttpSink(const Clock &Clk, Poco::Net::HTTPServerRequestImpl &Request,
                   Poco::Net::HTTPServerResponse &Response,
                   std::string RequestId,
                   std::chrono::milliseconds WriteTimeout,
                   std::function<std::vector<HostPort>()> OtherAddresses)
    : m_clock(Clk), m_socket(Request.socket()), m_response(Response),
      m_requestId(std::move(RequestId)), m_writeTimeout(WriteTimeout),
      m_otherAddresses(std::move(OtherAddresses)) {
  m_socket.setNoDelay(true);
  m_socket.setSendBufferSize(SendBufferBytes);
  m_socket.setSendTimeout(Poco::Timespan(
      std::chrono::duration_cast<std::chrono::microseconds>(SendStep).count()));
}

Result<void> HttpSink::begin(const ResponseHead &Head) {
  m_response.setStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Head.Status));
  if (!Head.ContentType.empty())
    m_response.setContentType(Head.ContentType);
  m_response.set("X-Request-Id", m_requestId);
  for (const auto &[Name, Value] : Head.Extra)
    m_response.set(Name, Value);
  m_chunked = !Head.Length.has_value();
  if (m_chunked)
    m_response.setChunkedTransferEncoding(true);
  else
    m_response.setContentLength64(static_cast<Poco::Int64>(*Head.Length));
  m_started = true;
  try {
    m_response.send().flush();
  } catch (const Poco::Exception &Caught) {
    return fail(ErrorKind::CallerDisconnected, Caught.displayText());
  }
  return {};
}

Result<void> HttpSink::write(std::string_view Bytes) {
  if (Bytes.empty())
    return {};
  return m_chunked ? sendAll(chunk(Bytes)) : sendAll(Bytes);
}

Result<void> HttpSink::finish() {
  // The last chunk is written by POCO when the response stream is destroyed.
  return {};
}

Result<void> HttpSink::sendAll(std::string_view Bytes) {
  const auto Limit = m_clock.now() + m_writeTimeout;
  while (!Bytes.empty()) {
    try {
      const int Sent =
          m_socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
      Bytes.remove_prefix(static_cast<std::size_t>(std::max(Sent, 0)));
    } catch (const Poco::TimeoutException &) {
      // Looked at below: the caller may only be slow.
    } catch (const Poco::Exception &Caught) {
      // POCO reports a send timeout as an I/O error with this code.
      if (Caught.code() != EAGAIN)
        return fail(ErrorKind::CallerDisconnected, Caught.displayText());
    }
    if (!Bytes.empty() && m_clock.now() > Limit)
      return fail(ErrorKind::CallerTooSlow,
                  "caller took no byte for " +
                      std::to_string(m_writeTimeout.count()) + " ms");
  }
  return {};
}

void HttpSink::discardRest() {
  std::array<char, 16384> Buffer{};
  const auto Limit = m_clock.now() + DiscardTime;
  try {
    m_socket.shutdownSend();
    m_socket.setReceiveTimeout(
        Poco::Timespan(std::chrono::microseconds(DiscardTime).count()));
    std::size_t Discarded = 0;
    for (int Got = 1;
         Got > 0 && Discarded < MaxDiscarded && m_clock.now() < Limit;
         Discarded += static_cast<std::size_t>(std::max(Got, 0)))
      Got =
          m_socket.receiveBytes(Buffer.data(), static_cast<int>(Buffer.size()));
  } catch (const Poco::Exception &) {
    // The caller is gone or silent, so there is nothing left to read.
  }
}

bool HttpSink::callerGone() {
  try {
    return m_socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
           m_socket.available() == 0;
  } catch (const Poco::Exception &) {
    return true;
  }
}

void HttpSink::abort(const Error &Failure) {
  try {
    m_started ? cut(Failure) : refuse(Failure);
  } catch (const Poco::Exception &) {
    // The caller is gone; nobody is left to tell.
  }
}

void HttpSink::refuse(const Error &Failure) {
  const auto &Answer = answerFor(Failure.Kind);
  const auto Others = Answer.State == RunState::NotRun
                          ? m_otherAddresses()
                          : std::vector<HostPort>{};
  const auto Body = refusalBody(Failure, m_requestId, Others);
  ResponseHead Head{.Status = Answer.HttpStatus,
                    .ContentType = "application/json",
                    .Length = Body.size()};
  Head.Extra.emplace_back("X-Run-State", std::string(toString(Answer.State)));
  if (retryAfter(Failure).count() > 0)
    Head.Extra.emplace_back("Retry-After", retryAfterSeconds(Failure));
  // If the caller is gone there is nobody left to tell.
  (void)errorOf([&]() -> Result<void> {
    BOOST_LEAF_CHECK(begin(Head));
    return write(Body);
  });
}

void HttpSink::cut(const Error &Failure) {
  if (m_chunked)
    (void)errorOf([&] {
      return write("event: error\ndata: " +
                   refusalBody(Failure, m_requestId, {}) + "\n\n");
    });
  // Without the last chunk the caller's library reports a cut body.
  m_response.setKeepAlive(false);
  m_socket.shutdown();
}

} // namespace nutmegdrift::proxy
