// Fuzz target of the reader of callers' requests. The first byte of the input
// is the largest part in which the rest arrives.
#include "nutmegdrift/net/http_message.h"

#include <algorithm>
#include <cstdlib>

namespace {

using namespace nutmegdrift::net;

/// Small, so that the fuzzer reaches them.
constexpr HttpLimits Limits{.MaxHeaderBytes = 512, .MaxBodyBytes = 256};

void require(bool Holds) {
  if (!Holds)
    std::abort();
}

struct Outcome {
  std::size_t Used = 0; ///< 0: an error, or an incomplete request.
  HttpParseError Error = HttpParseError::None;
  HttpRequest Request{};
};

/// Reads one request from the front of Bytes, in parts.
Outcome readRequest(std::string_view Bytes, std::size_t PartBytes) {
  RequestReader Reader(Limits);
  std::string Unread;
  std::size_t Consumed = 0;
  for (std::size_t At = 0; At < Bytes.size(); At += PartBytes) {
    Unread += Bytes.substr(At, PartBytes);
    const std::size_t Used = Reader.put(Unread);
    require(Used <= Unread.size());
    Consumed += Used;
    Unread.erase(0, Used);
    require(Reader.bodyBytes() <= Limits.MaxBodyBytes);
    // A field takes at least four bytes of the header, and an announced length
    // above the limit is an error.
    require(Reader.error() != HttpParseError::None ||
            Reader.heldBytes() <=
                Limits.MaxBodyBytes +
                    Limits.MaxHeaderBytes * (1 + sizeof(HeaderField) / 4));
    if (Reader.error() != HttpParseError::None)
      return {.Error = Reader.error()};
    if (Reader.done())
      return {.Used = Consumed, .Request = Reader.take()};
  }
  return {};
}

} // namespace

// The fuzzer looks for this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  if (Size < 2)
    return 0;
  const std::size_t PartBytes = std::max<std::size_t>(Data[0], 1);
  std::string_view Bytes(reinterpret_cast<const char *>(Data + 1), Size - 1);
  while (!Bytes.empty()) {
    const Outcome Whole = readRequest(Bytes, Bytes.size());
    const Outcome InParts = readRequest(Bytes, PartBytes);
    // At its edge the limit of the header depends on the parts.
    if (Whole.Error == HttpParseError::HeaderTooLarge ||
        InParts.Error == HttpParseError::HeaderTooLarge)
      return 0;
    // Otherwise the same bytes are the same request, however they arrive.
    const HttpRequest &Request = Whole.Request;
    require(Whole.Used == InParts.Used &&
            Request.Headers == InParts.Request.Headers &&
            Request.Body == InParts.Request.Body &&
            Request.Method == InParts.Request.Method &&
            Request.Target == InParts.Request.Target);
    if (Whole.Used == 0)
      return 0;
    // The end of a body must be known.
    if (const auto Coding = Request.Headers.find("Transfer-Encoding"))
      require(equalIgnoringCase(*Coding, "chunked") && !Request.Http10 &&
              !Request.Headers.find("Content-Length"));
    Bytes.remove_prefix(Whole.Used);
  }
  return 0;
}
