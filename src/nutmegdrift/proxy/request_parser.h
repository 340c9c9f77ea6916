// Turns a caller's HTTP request into a RequestContext.
#ifndef NUTMEGDRIFT_PROXY_REQUEST_PARSER_H
#define NUTMEGDRIFT_PROXY_REQUEST_PARSER_H

#include "nutmegdrift/proxy/http_frontend.h"

#include <Poco/Net/HTTPServerRequest.h>

namespace nutmegdrift::proxy {

/// Reads the body and identifies the request. Errors: MalformedRequest,
/// BodyTooLarge, UnknownTarget, DeadlinePassed, TicketInvalid.
Result<RequestContext> parseRequest(Poco::Net::HTTPServerRequest &Request,
                                    std::string Id, TimePoint Now,
                                    const FrontendOptions &Options);

/// True for names of workspaces, models and services: 1 to 64 letters,
/// digits, '.', '_' and '-'.
bool isName(std::string_view Text);

} // namespace nutmegdrift::proxy

#endif
