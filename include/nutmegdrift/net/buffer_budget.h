// A limit on the bytes that the peers of a process make it buffer.
#ifndef NUTMEGDRIFT_NET_BUFFER_BUDGET_H
#define NUTMEGDRIFT_NET_BUFFER_BUDGET_H

#include <cstddef>
#include <memory>
#include <utility>

namespace nutmegdrift::net {

/// Counts the bytes of all buffers that belong to it. One buffer may hold a
/// fixed part of what is free: however many buffers grow, their sum stays below
/// the limit, and small buffers are not affected by large ones.
class BufferBudget {
public:
  /// A buffer may hold 1/FreePart of the free bytes.
  static constexpr std::size_t FreePart = 4;
  /// A buffer may always hold this much, so that short messages pass. The sum
  /// may exceed the limit by this much for each buffer.
  static constexpr std::size_t MinAllowance = std::size_t{4} * 1024;

  /// Limit in bytes.
  explicit BufferBudget(std::size_t Limit) : m_limit(Limit) {}
  BufferBudget(const BufferBudget &) = delete;
  BufferBudget &operator=(const BufferBudget &) = delete;

  /// Bytes that one buffer may hold at present.
  [[nodiscard]] std::size_t allowance() const;
  [[nodiscard]] std::size_t used() const { return m_used; }
  /// Largest value of used().
  [[nodiscard]] std::size_t peak() const { return m_peak; }

  /// The part of one buffer.
  class Share {
  public:
    /// Without a budget nothing is counted or limited.
    explicit Share(std::shared_ptr<BufferBudget> Budget)
        : m_budget(std::move(Budget)) {}
    ~Share() { hold(0); }
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// Sets the bytes that the buffer holds. False if they are more than one
    /// buffer may hold at present; they are counted all the same.
    bool hold(std::size_t Bytes);

  private:
    std::shared_ptr<BufferBudget> m_budget;
    std::size_t m_held = 0;
  };

private:
  const std::size_t m_limit;
  std::size_t m_used = 0;
  std::size_t m_peak = 0;
};

} // namespace nutmegdrift::net

#endif
