// HTTP/1.1 messages and incremental parsers for them.
#ifndef NUTMEGDRIFT_NET_HTTP_MESSAGE_H
#define NUTMEGDRIFT_NET_HTTP_MESSAGE_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegdrift::net {

struct HeaderField {
  std::string Name;
  std::string Value;

  friend bool operator==(const HeaderField &, const HeaderField &) = default;
};

/// Header fields in the order in which they were received.
class HeaderList {
public:
  HeaderList() = default;
  HeaderList(std::initializer_list<HeaderField> Fields) : m_fields(Fields) {}

  void add(std::string Name, std::string Value);
  /// Replaces all fields of this name by one.
  void set(std::string_view Name, std::string Value);
  void remove(std::string_view Name);
  /// The first value of the field; names are compared ignoring case.
  [[nodiscard]] std::optional<std::string_view>
  find(std::string_view Name) const;
  [[nodiscard]] const std::vector<HeaderField> &all() const { return m_fields; }

  friend bool operator==(const HeaderList &, const HeaderList &) = default;

private:
  std::vector<HeaderField> m_fields;
};

bool equalIgnoringCase(std::string_view A, std::string_view B);

/// Whether a field applies to a single connection and must not be forwarded.
/// ConnectionTokens is the value of the message's Connection field.
bool isHopByHop(std::string_view Name, std::string_view ConnectionTokens);

/// Copies the fields that may be forwarded.
HeaderList endToEndFields(const HeaderList &Fields);

struct HttpRequest {
  std::string Method;
  std::string Target; ///< Path and query as received.
  HeaderList Headers;
  std::string Body;
  bool KeepAlive = true;
  bool Http10 = false; ///< The sender can't read chunked encoding.
};

/// The head of an answer.
struct HttpAnswerHead {
  int Status = 0;
  std::string Reason;
  HeaderList Headers;
  std::optional<std::uint64_t> ContentLength;
  bool Chunked = false;
};

/// Bytes that a reader may leave unread while it waits for the end of a part,
/// such as a chunk's header with its extensions. A message with a longer part
/// is malformed.
inline constexpr std::size_t MaxUnparsedBytes = std::size_t{64} * 1024;

/// Size limits of a caller's request.
struct HttpLimits {
  std::uint32_t MaxHeaderBytes = 16384;
  std::uint64_t MaxBodyBytes = 4194304;
};

enum class HttpParseError { None, Malformed, HeaderTooLarge, BodyTooLarge };

/// Parses one request from a connection's bytes.
class RequestReader {
public:
  explicit RequestReader(HttpLimits Limits);
  ~RequestReader();
  RequestReader(const RequestReader &) = delete;
  RequestReader &operator=(const RequestReader &) = delete;

  /// Parses bytes from the front of Data and returns how many were consumed.
  /// Stops at the end of the message.
  std::size_t put(std::string_view Data);
  [[nodiscard]] bool headerDone() const;
  [[nodiscard]] bool done() const;
  [[nodiscard]] HttpParseError error() const;
  /// Whether the sender waits for "100 Continue".
  [[nodiscard]] bool expectsContinue() const;
  /// The fields of the header, once headerDone().
  [[nodiscard]] const HeaderList &headers() const;
  /// Memory of the request: what it has, or the announced length of its body
  /// if that is more.
  [[nodiscard]] std::size_t heldBytes() const;
  /// Bytes of the body that were received.
  [[nodiscard]] std::size_t bodyBytes() const;
  /// Allocates the announced length, so that the body isn't copied as it grows.
  void reserveBody();
  /// Whether chunks are so small that their number and not their bytes takes
  /// the time.
  [[nodiscard]] bool sendsSmallChunks() const;
  HttpRequest take();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Parses one answer from a connection's bytes.
class AnswerReader {
public:
  struct Events {
    std::function<void(HttpAnswerHead)> OnHead;
    std::function<void(std::string_view)> OnBody;
    /// The length of a chunk, before its body.
    std::function<void(std::uint64_t)> OnChunk{};
  };

  /// Largest accepted header of an endpoint's answer.
  static constexpr std::uint32_t MaxHeaderBytes = 32768;

  /// HeadOnly: the answer is to a HEAD request and has no body.
  explicit AnswerReader(Events Callbacks, bool HeadOnly = false);
  ~AnswerReader();
  AnswerReader(const AnswerReader &) = delete;
  AnswerReader &operator=(const AnswerReader &) = delete;

  std::size_t put(std::string_view Data);
  /// The peer closed the connection in an orderly way; completes an answer
  /// without a length.
  void putEof();
  [[nodiscard]] bool headerDone() const;
  [[nodiscard]] bool done() const;
  [[nodiscard]] bool failed() const;
  /// Whether the connection may carry another request.
  [[nodiscard]] bool keepAlive() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Whether the text can be a field's value as it is (RFC 9110, section 5.5): no
/// control characters but tabs, and no blank or tab at its ends.
bool isFieldValue(std::string_view Text);

// In what is serialised, CR, LF and NUL in a field's value become blanks, so no
// value adds a field or ends the head.

/// The bytes of a request, with Content-Length if its method allows a body.
std::string serialise(const HttpRequest &Request);
/// The same up to the body, which has this many bytes.
std::string serialiseHead(const HttpRequest &Request, std::size_t BodyBytes);

/// The bytes of an answer's head. Framing fields are added by the caller.
std::string serialiseHead(int Status, const HeaderList &Headers);

/// The standard reason phrase of a status.
std::string_view reasonPhrase(int Status);

} // namespace nutmegdrift::net

#endif
