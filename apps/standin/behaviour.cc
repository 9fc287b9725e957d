// Behaviour of a stand-in backend server, which tests can change at run time.

#include "behaviour.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>

namespace gooseberryrock::standin {

namespace {

using Json = nlohmann::json;
using Setter = std::function<void(const Json&, Behaviour&)>;

template <typename T>
Setter MakeSetter(T Behaviour::*member) {
  return [member](const Json& value, Behaviour& behaviour) {
    value.get_to(behaviour.*member);
  };
}

Setter MakeMillisecondsSetter(Duration Behaviour::*member) {
  return [member](const Json& value, Behaviour& behaviour) {
    behaviour.*member = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(value.get<double>()));
  };
}

template <typename Enum>
Setter MakeEnumSetter(Enum Behaviour::*member,
                      std::map<std::string, Enum> names) {
  return [member, names = std::move(names)](const Json& value,
                                            Behaviour& behaviour) {
    auto it = names.find(value.get<std::string>());
    if (it == names.end()) {
      throw ControlError("unknown value " + value.dump());
    }
    behaviour.*member = it->second;
  };
}

void SetLayouts(const Json& value, Behaviour& behaviour) {
  behaviour.layouts.clear();
  for (const Json& it : value) {
    behaviour.layouts.push_back(
        {it.at("layout_version"), it.at("shards"), it.at("index_versions")});
  }
}

const std::map<std::string, Setter>& Setters() {
  static const std::map<std::string, Setter> setters = {
      {"state", MakeSetter(&Behaviour::state)},
      {"layouts", SetLayouts},
      {"service_time_ms", MakeMillisecondsSetter(&Behaviour::service_time)},
      {"service_time_sigma", MakeSetter(&Behaviour::service_time_sigma)},
      {"cold_requests", MakeSetter(&Behaviour::cold_requests)},
      {"cold_factor", MakeSetter(&Behaviour::cold_factor)},
      {"max_queue", MakeSetter(&Behaviour::max_queue)},
      {"shed", MakeSetter(&Behaviour::shed)},
      {"fail_fast", MakeSetter(&Behaviour::fail_fast)},
      {"honour_cancel", MakeSetter(&Behaviour::honour_cancel)},
      {"honour_deadline", MakeSetter(&Behaviour::honour_deadline)},
      {"load_report",
       MakeEnumSetter(&Behaviour::load_report, {{"true", LoadReport::kTrue},
                                                {"stale", LoadReport::kStale},
                                                {"zero", LoadReport::kZero}})},
      {"load_report_age_ms",
       MakeMillisecondsSetter(&Behaviour::load_report_age)},
      {"connection_limit", MakeSetter(&Behaviour::connection_limit)},
      {"connect_delay_ms", MakeMillisecondsSetter(&Behaviour::connect_delay)},
      {"crash_marker", MakeSetter(&Behaviour::crash_marker)},
      {"half_reply",
       MakeEnumSetter(&Behaviour::half_reply,
                      {{"none", HalfReply::kNone},
                       {"content_length", HalfReply::kContentLength},
                       {"chunked", HalfReply::kChunked}})},
      {"wrong_snapshot", MakeSetter(&Behaviour::wrong_snapshot)},
      {"close_after_read", MakeSetter(&Behaviour::close_after_read)},
  };
  return setters;
}

}  // namespace

void ApplyControl(std::string_view json, Behaviour& behaviour) {
  Behaviour changed = behaviour;
  try {
    const Json object = Json::parse(json);
    for (const auto& [name, value] : object.items()) {
      auto it = Setters().find(name);
      if (it == Setters().end()) {
        throw ControlError("unknown member " + name);
      }
      it->second(value, changed);
    }
  } catch (const Json::exception& e) {
    throw ControlError(e.what());
  }
  behaviour = std::move(changed);
}

bool Holds(const Behaviour& behaviour,
           std::string_view shard,
           uint64_t layout_version,
           uint64_t index_version) {
  auto contains = [](const auto& list, const auto& value) {
    return std::find(list.begin(), list.end(), value) != list.end();
  };
  return std::any_of(behaviour.layouts.begin(), behaviour.layouts.end(),
                     [&](const HeldLayout& it) {
                       return it.layout_version == layout_version &&
                              contains(it.shards, shard) &&
                              contains(it.index_versions, index_version);
                     });
}

Duration DrawServiceTime(const Behaviour& behaviour,
                         uint64_t n,
                         std::mt19937_64& random) {
  std::lognormal_distribution<double> distribution(
      0, behaviour.service_time_sigma);
  double factor = distribution(random);
  if (n < behaviour.cold_requests) {
    const double warm_share =
        static_cast<double>(n) / static_cast<double>(behaviour.cold_requests);
    factor *= behaviour.cold_factor + (1 - behaviour.cold_factor) * warm_share;
  }
  return std::chrono::duration_cast<Duration>(behaviour.service_time * factor);
}

}  // namespace gooseberryrock::standin
