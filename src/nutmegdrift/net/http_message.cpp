// Header lists, and message readers based on Beast's parser.
#include "nutmegdrift/net/http_message.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>

namespace nutmegdrift::net {

namespace http = boost::beast::http;
using ErrorCode = boost::beast::error_code;
using Text = boost::beast::string_view;

namespace {

/// ASCII only, as field names are; std::tolower() is a call for each byte.
constexpr char lowerCase(char Letter) {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter + 32)
                                        : Letter;
}

} // namespace

bool equalIgnoringCase(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         std::equal(A.begin(), A.end(), B.begin(), [](char X, char Y) {
           return X == Y || lowerCase(X) == lowerCase(Y);
         });
}

void HeaderList::add(std::string Name, std::string Value) {
  constexpr std::size_t UsualFields = 8;
  if (m_fields.empty())
    m_fields.reserve(UsualFields);
  m_fields.push_back({std::move(Name), std::move(Value)});
}

void HeaderList::set(std::string_view Name, std::string Value) {
  remove(Name);
  add(std::string(Name), std::move(Value));
}

void HeaderList::remove(std::string_view Name) {
  std::erase_if(m_fields, [&](const HeaderField &Field) {
    return equalIgnoringCase(Field.Name, Name);
  });
}

std::optional<std::string_view> HeaderList::find(std::string_view Name) const {
  for (const HeaderField &Field : m_fields)
    if (equalIgnoringCase(Field.Name, Name))
      return Field.Value;
  return std::nullopt;
}

namespace {

/// Whether a comma-separated list contains the token.
bool listHolds(std::string_view List, std::string_view Token) {
  while (!List.empty()) {
    const std::size_t Comma = std::min(List.find(','), List.size());
    std::string_view Item = List.substr(0, Comma);
    while (!Item.empty() && Item.front() == ' ')
      Item.remove_prefix(1);
    while (!Item.empty() && Item.back() == ' ')
      Item.remove_suffix(1);
    if (equalIgnoringCase(Item, Token))
      return true;
    List.remove_prefix(std::min(Comma + 1, List.size()));
  }
  return false;
}

} // namespace

bool isHopByHop(std::string_view Name, std::string_view ConnectionTokens) {
  static constexpr std::string_view Names[] = {"Connection",
                                               "Keep-Alive",
                                               "Proxy-Connection",
                                               "TE",
                                               "Trailer",
                                               "Transfer-Encoding",
                                               "Upgrade",
                                               "Content-Length",
                                               "Expect",
                                               "Proxy-Authorization",
                                               "Proxy-Authenticate"};
  for (std::string_view HopByHop : Names)
    if (equalIgnoringCase(Name, HopByHop))
      return true;
  return listHolds(ConnectionTokens, Name);
}

HeaderList endToEndFields(const HeaderList &Fields) {
  const std::string_view Tokens = Fields.find("Connection").value_or("");
  HeaderList EndToEnd;
  for (const HeaderField &Field : Fields.all())
    if (!isHopByHop(Field.Name, Tokens))
      EndToEnd.add(Field.Name, Field.Value);
  return EndToEnd;
}

// In both readers, the callbacks that are not needed have empty bodies.
struct RequestReader::Impl final : http::basic_parser<true> {
  explicit Impl(HttpLimits Limits) : MaxBodyBytes(Limits.MaxBodyBytes) {
    eager(true);
    header_limit(Limits.MaxHeaderBytes);
    body_limit(Limits.MaxBodyBytes);
  }

  void on_request_impl(http::verb, Text Method, Text Target, int Version,
                       ErrorCode &) override {
    constexpr int Http11 = 11;
    Request.Http10 = Version < Http11;
    Request.Method = std::string(Method);
    Request.Target = std::string(Target);
  }
  void on_response_impl(int, Text, int, ErrorCode &) override {}
  void on_field_impl(http::field Id, Text Name, Text Value,
                     ErrorCode &Failed) override {
    // Fields of a trailer aren't part of the header that was checked.
    if (is_header_done())
      return;
    if (Id == http::field::transfer_encoding) {
      // The parser takes a body with another coding for no body, and the body
      // would be read as the next request.
      if (Request.Http10 || Coded || !equalIgnoringCase(Value, "chunked"))
        Failed = http::error::bad_transfer_encoding;
      Coded = true;
    }
    HeaderBytes += sizeof(HeaderField) + Name.size() + Value.size();
    Request.Headers.add(std::string(Name), std::string(Value));
  }
  void on_header_impl(ErrorCode &) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t> &,
                         ErrorCode &) override {}
  std::size_t on_body_impl(Text Body, ErrorCode &) override {
    Request.Body.append(Body.data(), Body.size());
    return Body.size();
  }
  void on_chunk_header_impl(std::uint64_t, Text, ErrorCode &) override {
    ++Chunks;
  }
  std::size_t on_chunk_body_impl(std::uint64_t, Text Body,
                                 ErrorCode &) override {
    Request.Body.append(Body.data(), Body.size());
    return Body.size();
  }
  void on_finish_impl(ErrorCode &) override {}

  const std::uint64_t MaxBodyBytes;
  HttpRequest Request;
  std::size_t HeaderBytes = 0; ///< Memory of the fields.
  std::size_t Chunks = 0;
  bool Coded = false; ///< Has a Transfer-Encoding.
  HttpParseError Error = HttpParseError::None;
};

RequestReader::RequestReader(HttpLimits Limits)
    : m_impl(std::make_unique<Impl>(Limits)) {}
RequestReader::~RequestReader() = default;

std::size_t RequestReader::put(std::string_view Data) {
  if (done() || error() != HttpParseError::None || Data.empty())
    return 0;
  ErrorCode Failed;
  const std::size_t Used =
      m_impl->put(boost::asio::buffer(Data.data(), Data.size()), Failed);
  if (!Failed || Failed == http::error::need_more)
    return Used;
  if (Failed == http::error::header_limit)
    m_impl->Error = HttpParseError::HeaderTooLarge;
  else if (Failed == http::error::body_limit)
    m_impl->Error = HttpParseError::BodyTooLarge;
  else
    m_impl->Error = HttpParseError::Malformed;
  return Used;
}

bool RequestReader::headerDone() const { return m_impl->is_header_done(); }
bool RequestReader::done() const { return m_impl->is_done(); }
HttpParseError RequestReader::error() const { return m_impl->Error; }

bool RequestReader::expectsContinue() const {
  const auto Expect = m_impl->Request.Headers.find("Expect");
  return Expect && equalIgnoringCase(*Expect, "100-continue");
}

const HeaderList &RequestReader::headers() const {
  return m_impl->Request.Headers;
}

std::size_t RequestReader::heldBytes() const {
  const std::string &Body = m_impl->Request.Body;
  // The pages of a string's capacity that it hasn't used aren't in memory.
  std::size_t Bytes =
      std::min(Body.capacity(),
               std::max<std::size_t>(Body.size(), m_impl->MaxBodyBytes));
  if (m_impl->is_header_done())
    Bytes = std::max<std::size_t>(Bytes, m_impl->content_length().value_or(0));
  return m_impl->HeaderBytes + Bytes;
}

std::size_t RequestReader::bodyBytes() const {
  return m_impl->Request.Body.size();
}

void RequestReader::reserveBody() {
  m_impl->Request.Body.reserve(m_impl->content_length().value_or(0));
}

bool RequestReader::sendsSmallChunks() const {
  constexpr std::size_t MinChunks = 64;
  constexpr std::size_t SmallChunkBytes = 64;
  return m_impl->Chunks > MinChunks &&
         m_impl->Request.Body.size() < m_impl->Chunks * SmallChunkBytes;
}

HttpRequest RequestReader::take() {
  m_impl->Request.KeepAlive = m_impl->keep_alive();
  return std::move(m_impl->Request);
}

struct AnswerReader::Impl final : http::basic_parser<false> {
  Impl(Events Calls, bool HeadOnly) : Callbacks(std::move(Calls)) {
    eager(true);
    header_limit(MaxHeaderBytes);
    body_limit(boost::none);
    skip(HeadOnly);
  }

  void on_request_impl(http::verb, Text, Text, int, ErrorCode &) override {}
  void on_response_impl(int Status, Text Reason, int, ErrorCode &) override {
    Head.Status = Status;
    Head.Reason = std::string(Reason);
  }
  void on_field_impl(http::field, Text Name, Text Value, ErrorCode &) override {
    Head.Headers.add(std::string(Name), std::string(Value));
  }
  void on_header_impl(ErrorCode &) override {
    Head.Chunked = chunked();
    if (const auto Length = content_length())
      Head.ContentLength = *Length;
    Callbacks.OnHead(std::move(Head));
  }
  void on_body_init_impl(const boost::optional<std::uint64_t> &,
                         ErrorCode &) override {}
  std::size_t on_body_impl(Text Body, ErrorCode &) override {
    Callbacks.OnBody({Body.data(), Body.size()});
    return Body.size();
  }
  void on_chunk_header_impl(std::uint64_t Length, Text, ErrorCode &) override {
    if (Callbacks.OnChunk)
      Callbacks.OnChunk(Length);
  }
  std::size_t on_chunk_body_impl(std::uint64_t, Text Body,
                                 ErrorCode &) override {
    Callbacks.OnBody({Body.data(), Body.size()});
    return Body.size();
  }
  void on_finish_impl(ErrorCode &) override {}

  Events Callbacks;
  HttpAnswerHead Head;
  bool Failed = false;
};

AnswerReader::AnswerReader(Events Callbacks, bool HeadOnly)
    : m_impl(std::make_unique<Impl>(std::move(Callbacks), HeadOnly)) {}
AnswerReader::~AnswerReader() = default;

std::size_t AnswerReader::put(std::string_view Data) {
  if (done() || failed() || Data.empty())
    return 0;
  ErrorCode Error;
  const std::size_t Used =
      m_impl->put(boost::asio::buffer(Data.data(), Data.size()), Error);
  if (Error && Error != http::error::need_more)
    m_impl->Failed = true;
  return Used;
}

void AnswerReader::putEof() {
  ErrorCode Error;
  m_impl->put_eof(Error);
  if (Error)
    m_impl->Failed = true;
}

bool AnswerReader::headerDone() const { return m_impl->is_header_done(); }
bool AnswerReader::done() const { return m_impl->is_done(); }
bool AnswerReader::failed() const { return m_impl->Failed; }
bool AnswerReader::keepAlive() const { return m_impl->keep_alive(); }

namespace {

void appendFields(std::string &Out, const HeaderList &Headers) {
  for (const HeaderField &Field : Headers.all()) {
    Out += Field.Name + ": ";
    const auto Begin = static_cast<std::ptrdiff_t>(Out.size());
    Out += Field.Value;
    std::replace_if(
        Out.begin() + Begin, Out.end(),
        [](char C) { return C == '\r' || C == '\n' || C == '\0'; }, ' ');
    Out += "\r\n";
  }
}

} // namespace

bool isFieldValue(std::string_view Text) {
  const auto IsBlank = [](char C) { return C == ' ' || C == '\t'; };
  if (!Text.empty() && (IsBlank(Text.front()) || IsBlank(Text.back())))
    return false;
  return std::ranges::none_of(Text, [](char C) {
    const auto Byte = static_cast<unsigned char>(C);
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char Delete = 0x7f;
    return (Byte < FirstPrintable && C != '\t') || Byte == Delete;
  });
}

std::string serialise(const HttpRequest &Request) {
  return serialiseHead(Request, Request.Body.size()) + Request.Body;
}

std::string serialiseHead(const HttpRequest &Request, std::size_t BodyBytes) {
  std::string Out = Request.Method + " " + Request.Target + " HTTP/1.1\r\n";
  appendFields(Out, Request.Headers);
  const bool MayHaveBody = Request.Method != "GET" && Request.Method != "HEAD";
  if (MayHaveBody || BodyBytes > 0)
    Out += "Content-Length: " + std::to_string(BodyBytes) + "\r\n";
  Out += "\r\n";
  return Out;
}

std::string serialiseHead(int Status, const HeaderList &Headers) {
  std::string Out = "HTTP/1.1 " + std::to_string(Status) + " " +
                    std::string(reasonPhrase(Status)) + "\r\n";
  appendFields(Out, Headers);
  Out += "\r\n";
  return Out;
}

std::string_view reasonPhrase(int Status) {
  const auto Name = http::obsolete_reason(static_cast<http::status>(Status));
  return {Name.data(), Name.size()};
}

} // namespace nutmegdrift::net
