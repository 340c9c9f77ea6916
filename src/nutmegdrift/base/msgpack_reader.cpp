// A msgpack reader that refuses deep nesting.
#include "nutmegdrift/base/msgpack_reader.h"

#include <vector>

namespace nutmegdrift {

namespace {

using Json = nlohmann::json;

/// Builds arrays of scalars and refuses deep nesting. The library's own
/// from_msgpack recurses once per level, so nested arrays of a few
/// thousand bytes can overflow the stack.
class BoundedBuilder {
public:
  explicit BoundedBuilder(MsgpackLimits Limits) : m_limits(Limits) {}

  Json takeRoot() { return std::move(m_root); }

  bool null() { return add(nullptr); }
  bool boolean(bool Value) { return add(Value); }
  bool number_integer(Json::number_integer_t Value) { // NOLINT
    return add(Value);
  }
  bool number_unsigned(Json::number_unsigned_t Value) { // NOLINT
    return add(Value);
  }
  bool number_float(Json::number_float_t Value, // NOLINT
                    const Json::string_t & /*Text*/) {
    return add(Value);
  }
  bool string(Json::string_t &Value) { return add(std::move(Value)); }
  bool binary(Json::binary_t & /*Value*/) { return false; }
  bool start_object(std::size_t /*Size*/) { return false; } // NOLINT
  bool key(Json::string_t & /*Name*/) { return false; }
  bool end_object() { return false; }      // NOLINT
  bool start_array(std::size_t /*Size*/) { // NOLINT
    if (m_open.size() >= m_limits.MaxDepth || !add(Json::array()))
      return false;
    m_open.push_back(m_open.empty() ? &m_root : &m_open.back()->back());
    return true;
  }
  bool end_array() { // NOLINT
    m_open.pop_back();
    return true;
  }
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool parse_error(std::size_t /*Position*/, const std::string & /*Token*/,
                   const nlohmann::detail::exception & /*Cause*/) {
    return false;
  }

private:
  bool add(Json Value) {
    if (++m_values > m_limits.MaxValues)
      return false;
    if (m_open.empty())
      m_root = std::move(Value);
    else
      m_open.back()->push_back(std::move(Value));
    return true;
  }

  const MsgpackLimits m_limits;
  Json m_root;
  std::vector<Json *> m_open; ///< Arrays that are not closed, outermost first.
  std::size_t m_values = 0;
};

} // namespace

std::optional<nlohmann::json> readMsgpack(std::string_view Bytes,
                                          MsgpackLimits Limits) {
  BoundedBuilder Builder(Limits);
  if (!Json::sax_parse(Bytes.begin(), Bytes.end(), &Builder,
                       Json::input_format_t::msgpack))
    return std::nullopt;
  return Builder.takeRoot();
}

} // namespace nutmegdrift
