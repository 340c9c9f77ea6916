// JSON form of a rollout and the writes by operators.
#include "nutmegdrift/control/rollout_record.h"

#include <nlohmann/json.hpp>

namespace nutmegdrift::control {

namespace {

using Json = nlohmann::json;
using policy::RolloutPhase;

Json testsToJson(const policy::RouteJudgement &Route) {
  Json Out = Json::array();
  for (const auto &Test : Route.Tests)
    Out.push_back({{"wealth", Test.Wealth}, {"count", Test.Count}});
  return Out;
}

Json routesToJson(const std::vector<policy::RouteJudgement> &Routes) {
  Json Out = Json::array();
  for (const auto &Route : Routes)
    Out.push_back({{"route", Route.Route},
                   {"rank", Route.Rank},
                   {"pairs", Route.Pairs},
                   {"good", Route.Good},
                   {"tests", testsToJson(Route)}});
  return Out;
}

policy::RouteJudgement routeFromJson(const Json &In) {
  policy::RouteJudgement Out{.Route = In.at("route"),
                             .Rank = In.at("rank"),
                             .Pairs = In.at("pairs"),
                             .Good = In.at("good")};
  for (std::size_t I = 0; I < Out.Tests.size(); ++I) {
    In.at("tests").at(I).at("wealth").get_to(Out.Tests.at(I).Wealth);
    In.at("tests").at(I).at("count").get_to(Out.Tests.at(I).Count);
  }
  return Out;
}

Duration durationAt(const Json &In, const char *Key) {
  return Duration(In.at(Key).get<Duration::rep>());
}

policy::RolloutProgress progressFromJson(const Json &In) {
  const auto Phase =
      policy::parseRolloutPhase(In.at("phase").get<std::string>());
  if (!Phase)
    throw std::invalid_argument("unknown phase");
  policy::RolloutProgress Out{.Phase = *Phase,
                              .Reason = In.at("reason"),
                              .DelayReason = In.at("late"),
                              .Elapsed = durationAt(In, "elapsed_ns"),
                              .CanaryStarted =
                                  durationAt(In, "canary_started_ns"),
                              .RampStarted = durationAt(In, "ramp_started_ns")};
  for (const auto &Route : In.at("routes"))
    Out.Routes.push_back(routeFromJson(Route));
  return Out;
}

RolloutRecord recordFromJson(const Json &In) {
  return {.Plan = {.Target = In.at("target"),
                   .Version = In.at("version"),
                   .OldVersion = In.at("old_version"),
                   .FinishWithin = durationAt(In, "finish_within_ns"),
                   .Order = In.value("order", std::uint64_t{0})},
          .Progress = progressFromJson(In),
          .Holder = In.at("holder"),
          .Fence = In.at("fence"),
          .Nonce = In.at("nonce"),
          .RollbackReason = In.at("take_back"),
          .Converged = In.at("settled"),
          .Share = In.value("share", 0.0)};
}

} // namespace

std::string rolloutObjectName(const std::string &Target) {
  return std::string(RolloutPrefix) + Target;
}

bool needsController(const RolloutRecord &Record) {
  const bool RollbackRequested =
      !Record.RollbackReason.empty() &&
      Record.Progress.Phase != RolloutPhase::RolledBack;
  return !Record.Converged || RollbackRequested;
}

std::string encodeRollout(const RolloutRecord &R) {
  return Json{{"target", R.Plan.Target},
              {"version", R.Plan.Version},
              {"old_version", R.Plan.OldVersion},
              {"finish_within_ns", R.Plan.FinishWithin.count()},
              {"order", R.Plan.Order},
              {"phase", policy::toString(R.Progress.Phase)},
              {"reason", R.Progress.Reason},
              {"late", R.Progress.DelayReason},
              {"elapsed_ns", R.Progress.Elapsed.count()},
              {"canary_started_ns", R.Progress.CanaryStarted.count()},
              {"ramp_started_ns", R.Progress.RampStarted.count()},
              {"routes", routesToJson(R.Progress.Routes)},
              {"holder", R.Holder},
              {"fence", R.Fence},
              {"nonce", R.Nonce},
              {"take_back", R.RollbackReason},
              {"settled", R.Converged},
              {"share", R.Share}}
      .dump();
}

Result<RolloutRecord> decodeRollout(const std::string &Text) {
  try {
    return recordFromJson(Json::parse(Text));
  } catch (const std::exception &Failure) {
    return fail(ErrorKind::InvalidDocument,
                std::string("rollout record: ") + Failure.what());
  }
}

std::string describeRollout(const RolloutRecord &R) {
  std::string Out = R.Plan.Target + " to " + R.Plan.Version + ": " +
                    std::string(policy::toString(R.Progress.Phase));
  if (!R.Progress.Reason.empty())
    Out += ", " + R.Progress.Reason;
  if (!R.Progress.DelayReason.empty())
    Out += "; late: " + R.Progress.DelayReason;
  if (R.Progress.Phase == RolloutPhase::RolledBack && !R.Converged)
    Out += "; replicas still load version " + R.Plan.OldVersion;
  return Out;
}

Result<platform::ObjectVersion> startRollout(platform::ObjectStore &Store,
                                             const policy::RolloutPlan &Plan) {
  const auto Name = rolloutObjectName(Plan.Target);
  const auto Text = encodeRollout({.Plan = Plan});
  const auto Stored = capture([&] { return Store.get(Name); });
  if (!Stored && Stored.Failure.Kind == ErrorKind::NotFound)
    return Store.put(Name, Text, 0);
  if (!Stored)
    return fail(Stored.Failure);
  BOOST_LEAF_AUTO(Record, decodeRollout(Stored->Text));
  if (needsController(Record))
    return fail(ErrorKind::Conflict, "in progress: " + describeRollout(Record));
  return Store.put(Name, Text, Stored->Version);
}

Result<platform::ObjectVersion> requestRollback(platform::ObjectStore &Store,
                                                const std::string &Target,
                                                const std::string &Reason) {
  const auto Name = rolloutObjectName(Target);
  BOOST_LEAF_AUTO(Stored, Store.get(Name));
  BOOST_LEAF_AUTO(Record, decodeRollout(Stored.Text));
  Record.RollbackReason = Reason;
  return Store.put(Name, encodeRollout(Record), Stored.Version);
}

} // namespace nutmegdrift::control
