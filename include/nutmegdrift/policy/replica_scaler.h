// The number of replicas that each zone of a service should have.
#ifndef NUTMEGDRIFT_POLICY_REPLICA_SCALER_H
#define NUTMEGDRIFT_POLICY_REPLICA_SCALER_H

#include "nutmegdrift/base/clock.h"
#include "nutmegdrift/base/identifiers.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegdrift::policy {

/// The number of replicas of a service that a zone should have.
struct ReplicaOrder {
  std::string Service;
  std::string Zone;
  unsigned Count = 0;
  std::string Reason; ///< Of the last change, for operators.

  friend bool operator==(const ReplicaOrder &, const ReplicaOrder &) = default;
};

/// What one daemon measured of the requests that it places.
struct DemandReport {
  /// Replicas that the requests offered in the last second would keep busy.
  double Replicas = 0.0;
  /// Part of these requests that were refused or still wait.
  double UnservedShare = 0.0;
  Duration Measured{0}; ///< Time since the first request that was measured.

  friend bool operator==(const DemandReport &, const DemandReport &) = default;
};

/// Decides the number of replicas from the demand of the last wave. Replicas
/// are paid by the second and missing ones cost callers for the startup time,
/// so an order rises to what the demand surely needs and falls only to what it
/// surely does not need; between the two it stays. Does no I/O; not
/// thread-safe.
class ReplicaScaler {
public:
  struct Options {
    /// The longest period and the largest swing around its mean of a regular
    /// load that is planned for; no deployment has stated more. Until a whole
    /// period was seen, the crest to come is bounded by them.
    Duration Period = std::chrono::seconds(11);
    double Swing = 0.27;
    /// Part of the replicas' capacity that the crest of the demand may use.
    /// Above it, requests wait for uneven arrivals and slower replicas.
    double TargetUse = 0.85;
  };
  /// Limits of the replicas in one zone.
  struct Limits {
    unsigned Minimum = 1;
    unsigned Maximum = 1;
    Duration Startup{0}; ///< Time until a new replica serves.

    friend bool operator==(const Limits &, const Limits &) = default;
  };
  struct ZoneReplicas {
    unsigned Present = 0;
    unsigned Failing = 0; ///< Of these.
  };
  struct ServiceState {
    std::string Service;
    Limits Bounds;
    std::map<std::string, ZoneReplicas> Zones;
    std::set<std::string> Evacuated; ///< Zones.
    bool InRollout = false;
  };

  /// Interval of update().
  static constexpr Duration SampleInterval = std::chrono::milliseconds(500);
  /// The level of the demand is the median of this time: a burst of a second
  /// doesn't change it, and a lasting change does within two seconds.
  static constexpr Duration LevelTime = std::chrono::seconds(2);
  /// A report is current for three heartbeats of a dispatcher, and a missing
  /// one counts as a lower bound for the second time.
  static constexpr Duration CurrentReport = std::chrono::milliseconds(1600);
  static constexpr Duration ReportRetention = std::chrono::seconds(6);
  /// A missing report of a smaller demand, in replicas, is no gap.
  static constexpr double SignificantDemand = 0.5;
  /// A new dispatcher has not measured a whole second before this time.
  static constexpr Duration MinMeasured = std::chrono::milliseconds(1250);
  /// Nothing is ordered before the demand was known for this long. The reading
  /// rates of the engines are learned in the first seconds; until then the
  /// demand looks up to three times too large.
  static constexpr Duration UpDelay = std::chrono::seconds(3);
  /// Orders fall only after the demand was known without any gap for this long.
  static constexpr Duration DownDelay = std::chrono::seconds(3);
  /// A longer time without any report starts both delays again.
  static constexpr Duration MaxGap = std::chrono::seconds(3);
  /// Parts of the known daemons that must be heard for any change, and for
  /// lower orders: the requests of the others may be missing in the demand.
  static constexpr double MinHeard = 0.5;
  static constexpr double MinHeardForLess = 0.9;
  /// Lower orders are given in steps of this part at most, so that a wrong one
  /// is seen before the next; and not until replicas ordered before serve.
  static constexpr double DownStep = 0.15;
  static constexpr Duration DownInterval = std::chrono::milliseconds(1500);
  /// Smaller changes, as a part of the order, are not worth a call.
  static constexpr double MinChange = 0.02;
  /// Demand above this multiple of the last period's crest is a new load.
  static constexpr double NewLoad = 1.05;
  /// Overload: demand above this part of the serving replicas, or this part of
  /// the requests unserved while the demand is not small.
  static constexpr double OverloadDemand = 1.3;
  static constexpr double OverloadUnserved = 0.25;
  static constexpr double MinOverloadDemand = 0.7;

  ReplicaScaler() = default;
  explicit ReplicaScaler(const Options &Settings) : m_options(Settings) {}

  /// A daemon reports its demand, at the rate of its heartbeats.
  void report(const std::string &Service, const DaemonName &Daemon,
              const DemandReport &Report, TimePoint Now);
  /// Takes a sample and updates the orders. To be called each SampleInterval.
  /// HeardShare: part of the known daemons that send heartbeats; 0 while the
  /// lists of replicas and services may be out of date.
  void update(TimePoint Now, double HeardShare,
              const std::vector<ServiceState> &Services);
  /// What should be in force; zones without a change so far are left out.
  [[nodiscard]] std::vector<ReplicaOrder> orders() const;
  /// Sets the orders that are in force, as a new holder of the duty reads them.
  void setOrders(const std::vector<ReplicaOrder> &InForce);

private:
  struct Sample {
    TimePoint At{};
    double Demand = 0.0;
    double UnservedShare = 0.0;
    std::map<std::string, unsigned> Failing; ///< By zone.
    double Level = 0.0;                      ///< See LevelTime.
  };
  struct ZoneOrder {
    unsigned Count = 0;
    bool Changed = false; ///< False: the number found at first.
    std::string Reason;
  };
  struct Track {
    std::map<DaemonName, std::pair<DemandReport, TimePoint>> Reports;
    bool Requested = false;     ///< There has been a significant demand.
    std::deque<Sample> Samples; ///< Of the last period.
    std::optional<TimePoint> KnownSince;
    std::optional<TimePoint> CompleteSince; ///< Without any gap.
    std::map<std::string, ZoneOrder> Zones;
    TimePoint LastLess{};
    TimePoint LastMore{};
  };
  /// Demand at the next crest, in replicas: at least and at most.
  struct Crest {
    double AtLeast = 0.0;
    double AtMost = 0.0;
  };

  /// Adds the present sample. False if the demand is unknown.
  bool takeSample(Track &Tracked, const ServiceState &State, double HeardShare,
                  TimePoint Now) const;
  [[nodiscard]] Crest crest(const Track &Tracked, const ServiceState &State,
                            TimePoint Now) const;
  [[nodiscard]] static bool overloaded(const Track &Tracked, double Serving,
                                       TimePoint Now);
  void decide(Track &Tracked, const ServiceState &State, TimePoint Now) const;

  Options m_options;
  std::map<std::string, Track> m_services;
};

} // namespace nutmegdrift::policy

#endif
