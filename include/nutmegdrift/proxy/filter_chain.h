// The filter chain that every request passes: each filter may refuse the
// request, or do its part and hand on to the next.
#ifndef NUTMEGDRIFT_PROXY_FILTER_CHAIN_H
#define NUTMEGDRIFT_PROXY_FILTER_CHAIN_H

#include "nutmegdrift/config/fleet_config.h"
#include "nutmegdrift/proxy/request.h"

#include <functional>
#include <memory>
#include <vector>

namespace nutmegdrift::proxy {

/// What the filters share about one request.
struct Exchange {
  RequestContext &Request;
  ResponseSink &Sink;
  /// The configuration in force when the request came; never null.
  std::shared_ptr<const config::FleetConfig> Config;
};

/// Runs the rest of the chain.
using Next = std::function<Result<void>(Exchange &)>;

class Filter {
public:
  virtual ~Filter() = default;
  virtual Result<void> handle(Exchange &Current, const Next &Rest) = 0;
};

/// Filters in order; the last one must not call Rest.
///
/// \code
///   FilterChain Chain({std::make_shared<AccessFilter>(), Dispatch});
///   auto Failure = errorOf([&] { return Chain.run(Current); });
/// \endcode
class FilterChain {
public:
  explicit FilterChain(std::vector<std::shared_ptr<Filter>> Filters);
  Result<void> run(Exchange &Current) const;

private:
  Result<void> runFrom(std::size_t Position, Exchange &Current) const;

  const std::vector<std::shared_ptr<Filter>> m_filters;
};

} // namespace nutmegdrift::proxy

#endif
