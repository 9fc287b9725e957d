// Conversions between the counts and grants of allotments and their messages.

#include "gooseberryrock/proto/convert_allotments.h"

#include <cmath>

#include "gooseberryrock/allotments/allotment_grant.h"
#include "gooseberryrock/allotments/allotment_report.h"
#include "gooseberryrock/allotments/allotment_totals.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "peer.pb.h"

namespace gooseberryrock::proto {

namespace {

RequestCounts ToMessage(const allotments::RequestCounts& counts) {
  RequestCounts message;
  message.set_arrivals(counts.arrivals);
  message.set_admitted(counts.admitted);
  return message;
}

allotments::RequestCounts FromMessage(const RequestCounts& message) {
  return {message.arrivals(), message.admitted()};
}

void Require(bool condition, const char* what) {
  if (!condition) {
    throw MalformedMessageError(what);
  }
}

}  // namespace

AllotmentReport ToMessage(const allotments::AllotmentReport& report) {
  AllotmentReport message;
  message.set_number(report.number);
  for (const auto& [hash, counts] : report.counts) {
    auto& it = *message.add_organisations();
    it.set_organisation(hash);
    *it.mutable_now() = ToMessage(counts.now);
    *it.mutable_acknowledged() = ToMessage(counts.acknowledged);
  }
  return message;
}

AllotmentGrant ToMessage(const allotments::AllotmentGrant& grant) {
  AllotmentGrant message;
  message.set_nodes(static_cast<uint32_t>(grant.nodes));
  for (const auto& [hash, organisation] : grant.organisations) {
    auto& it = *message.add_organisations();
    it.set_organisation(hash);
    it.set_refused(static_cast<float>(1 - organisation.fraction));
    it.set_demand(static_cast<float>(organisation.demand));
  }
  return message;
}

AllotmentTotals ToMessage(const allotments::AllotmentTotals& totals) {
  AllotmentTotals message;
  message.set_granting(totals.is_granting);
  message.set_complete(totals.is_complete);
  for (const auto& [hash, organisation] : totals.organisations) {
    auto& it = *message.add_organisations();
    it.set_organisation(hash);
    *it.mutable_counts() = ToMessage(organisation.counts);
    if (organisation.tokens) {
      it.set_tokens(static_cast<float>(*organisation.tokens));
    }
  }
  return message;
}

allotments::AllotmentReport FromMessage(const AllotmentReport& message) {
  allotments::AllotmentReport report;
  report.number = message.number();
  for (const auto& it : message.organisations()) {
    report.counts[it.organisation()] = {FromMessage(it.now()),
                                        FromMessage(it.acknowledged())};
  }
  return report;
}

allotments::AllotmentGrant FromMessage(const AllotmentGrant& message) {
  allotments::AllotmentGrant grant;
  grant.nodes = message.nodes();
  for (const auto& it : message.organisations()) {
    Require(it.refused() >= 0 && it.refused() <= 1,
            "fraction of an allotment is out of range");
    Require(std::isfinite(it.demand()) && it.demand() >= 0,
            "demand of an allotment is out of range");
    grant.organisations[it.organisation()] = {1.0 - it.refused(), it.demand()};
  }
  return grant;
}

allotments::AllotmentTotals FromMessage(const AllotmentTotals& message) {
  allotments::AllotmentTotals totals;
  totals.is_granting = message.granting();
  totals.is_complete = message.complete();
  for (const auto& it : message.organisations()) {
    auto& organisation = totals.organisations[it.organisation()];
    organisation.counts = FromMessage(it.counts());
    if (it.has_tokens()) {
      Require(std::isfinite(it.tokens()), "tokens are not finite");
      organisation.tokens = it.tokens();
    }
  }
  return totals;
}

}  // namespace gooseberryrock::proto
