// Encoding by Boost.URL.
#include "nutmegdrift/base/uri.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace nutmegdrift {

namespace urls = boost::urls;

std::string encodeUriComponent(std::string_view Text) {
  return urls::encode({Text.data(), Text.size()}, urls::unreserved_chars);
}

std::string encodeUriPath(std::string_view Text) {
  constexpr auto PathChars = urls::unreserved_chars + '/';
  return urls::encode({Text.data(), Text.size()}, PathChars);
}

} // namespace nutmegdrift
