// Text forms of identifiers.
#include "nutmegdrift/base/identifiers.h"

#include <array>
#include <charconv>
#include <cstdio>

#include <xxhash.h>

namespace nutmegdrift {

namespace {

constexpr std::string_view ModelPrefix = "model:";
constexpr std::string_view ServicePrefix = "service:";
constexpr int Hexadecimal = 16;

template <class T>
std::optional<T> parseNumber(std::string_view Text, int Base = 10) {
  T Value{};
  const auto *End = Text.data() + Text.size();
  const auto [Stop, Code] = std::from_chars(Text.data(), End, Value, Base);
  if (Code != std::errc() || Stop != End || Text.empty())
    return std::nullopt;
  return Value;
}

std::string hex(std::uint64_t Value) {
  std::array<char, 17> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%016llx",
                static_cast<unsigned long long>(Value));
  return Buffer.data();
}

} // namespace

std::string toString(const Target &Value) {
  const auto Prefix =
      Value.Type == Target::Kind::Model ? ModelPrefix : ServicePrefix;
  return std::string(Prefix) + Value.Name;
}

std::optional<Target> parseTarget(std::string_view Text) {
  const auto Parse = [&](std::string_view Prefix, Target::Kind Type) {
    return Text.starts_with(Prefix) && Text.size() > Prefix.size()
               ? std::optional<Target>(
                     Target{Type, std::string(Text.substr(Prefix.size()))})
               : std::nullopt;
  };
  if (auto Model = Parse(ModelPrefix, Target::Kind::Model))
    return Model;
  return Parse(ServicePrefix, Target::Kind::Service);
}

std::string toString(const Ticket &Value) {
  return Value.Home + "." + hex(Value.Boot) + "." +
         std::to_string(Value.Sequence);
}

std::optional<Ticket> parseTicket(std::string_view Text) {
  const auto Last = Text.rfind('.');
  if (Last == std::string_view::npos || Last == 0)
    return std::nullopt;
  const auto Middle = Text.rfind('.', Last - 1);
  if (Middle == std::string_view::npos || Middle == 0)
    return std::nullopt;
  const auto Boot = parseNumber<BootId>(
      Text.substr(Middle + 1, Last - Middle - 1), Hexadecimal);
  const auto Sequence = parseNumber<std::uint64_t>(Text.substr(Last + 1));
  if (!Boot || !Sequence)
    return std::nullopt;
  return Ticket{std::string(Text.substr(0, Middle)), *Boot, *Sequence};
}

std::string makeRequestId(const DaemonName &Daemon, BootId Boot,
                          std::uint64_t Counter) {
  return Daemon + "-" + hex(Boot) + "-" + std::to_string(Counter);
}

BootId makeBootId(Random &Rng) {
  BootId Value = 0;
  while (Value == 0)
    Value = Rng();
  return Value;
}

std::string toString(const HostPort &Address) {
  return Address.Host + ":" + std::to_string(Address.Port);
}

std::optional<HostPort> parseHostPort(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return std::nullopt;
  const auto Port = parseNumber<std::uint16_t>(Text.substr(Colon + 1));
  if (!Port)
    return std::nullopt;
  return HostPort{std::string(Text.substr(0, Colon)), *Port};
}

std::uint64_t hashText(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

} // namespace nutmegdrift
