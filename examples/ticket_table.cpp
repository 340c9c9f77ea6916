// A ticket runs its request once; a resend gets the stored answer.
#include "nutmegdrift/policy/ticket_table.h"

#include <iostream>

int main() {
  using namespace nutmegdrift;
  const ManualClock Clk;
  policy::TicketTable Table("d1", 7, Clk);
  const auto Range = capture([&] { return Table.grant(1); });
  const Ticket Payment{"d1", 7, Range->First};
  constexpr std::uint64_t Fingerprint = 42;
  const auto First = capture([&] { return Table.start(Payment, Fingerprint); });
  if (First->Decision == policy::TicketDecision::Run)
    Table.finish(Payment, {.Status = 200, .Body = "paid"});
  const auto Resend =
      capture([&] { return Table.start(Payment, Fingerprint); });
  std::cout << toString(Payment) << ": " << Resend->Answer.Body << "\n";
  return Resend->Decision == policy::TicketDecision::Replay ? 0 : 1;
}
