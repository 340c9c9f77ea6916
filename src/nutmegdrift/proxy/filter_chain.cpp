#include "nutmegdrift/proxy/filter_chain.h"

namespace nutmegdrift::proxy {

FilterChain::FilterChain(std::vector<std::shared_ptr<Filter>> Filters)
    : m_filters(std::move(Filters)) {}

Result<void> FilterChain::run(Exchange &Current) const {
  return runFrom(0, Current);
}

Result<void> FilterChain::runFrom(std::size_t Position,
                                  Exchange &Current) const {
  if (Position == m_filters.size())
    return fail(ErrorKind::Internal, "no filter answered the request");
  return m_filters[Position]->handle(
      Current, [&](Exchange &Passed) { return runFrom(Position + 1, Passed); });
}

} // namespace nutmegdrift::proxy
