// Percent-encoding of text that becomes part of a URI (RFC 3986).
#ifndef NUTMEGDRIFT_BASE_URI_H
#define NUTMEGDRIFT_BASE_URI_H

#include <string>
#include <string_view>

namespace nutmegdrift {

/// The text as one segment of a path or one value of a query: every byte
/// outside of RFC 3986's unreserved set becomes %XX, so also a slash, a blank
/// and each byte of a character beyond ASCII.
std::string encodeUriComponent(std::string_view Text);

/// The text as a path of several segments: as encodeUriComponent(), but slashes
/// stay.
std::string encodeUriPath(std::string_view Text);

} // namespace nutmegdrift

#endif
