// Seedable random source, passed in so that tests are reproducible.
#ifndef NUTMEGDRIFT_BASE_RANDOM_H
#define NUTMEGDRIFT_BASE_RANDOM_H

#include <cstdint>
#include <random>

namespace nutmegdrift {

using Random = std::mt19937_64;

/// A uniformly distributed number in [0, 1).
inline double uniform(Random &Rng) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(Rng);
}

/// A generator seeded from the operating system's entropy.
inline Random makeRandom() {
  std::random_device Device;
  return Random((std::uint64_t{Device()} << 32U) | Device());
}

} // namespace nutmegdrift

#endif
