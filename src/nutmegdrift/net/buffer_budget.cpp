// Counting of buffered bytes.
#include "nutmegdrift/net/buffer_budget.h"

#include <algorithm>

namespace nutmegdrift::net {

std::size_t BufferBudget::allowance() const {
  return std::max(MinAllowance,
                  (m_limit - std::min(m_used, m_limit)) / FreePart);
}

bool BufferBudget::Share::hold(std::size_t Bytes) {
  if (!m_budget)
    return true;
  m_budget->m_used += Bytes;
  m_budget->m_used -= m_held;
  m_budget->m_peak = std::max(m_budget->m_peak, m_budget->m_used);
  m_held = Bytes;
  return Bytes <= m_budget->allowance();
}

} // namespace nutmegdrift::net
