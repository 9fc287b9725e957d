// Names of the counters and gauges.

#include "gooseberryrock/telemetry/metric_names.h"

#include <array>

namespace gooseberryrock::telemetry {

namespace {

// In the order of the enumerators.
constexpr std::array<MetricName, kCounterCount> kCounterNames = {{
    {"gbr_bad_requests_total", "Requests refused as malformed."},
    {"gbr_unauthorized_requests_total",
     "Operator calls with a wrong or missing token."},
    {"gbr_admission_refused_total",
     "Queries refused as not run before anything was sent."},
    {"gbr_attempts_sent_total", "Subqueries sent to backend servers."},
    {"gbr_hedges_total", "Attempts sent because another one was slow."},
    {"gbr_retries_total", "Attempts sent because another one failed."},
    {"gbr_attempts_cancelled_total",
     "Attempts cancelled because their result was no longer needed."},
    {"gbr_attempts_failed_total", "Attempts that ended without rows."},
    {"gbr_announcements_total", "Announcements of backend servers."},
    {"gbr_servers_expired_total",
     "Backend servers whose announcements stopped."},
    {"gbr_server_crashes_total",
     "Backend servers that crashed while they ran an attempt."},
    {"gbr_claims_accepted_total",
     "Non-idempotent requests whose claim was accepted."},
    {"gbr_claims_not_run_total",
     "Non-idempotent requests refused as not run for lack of a claim."},
    {"gbr_claims_outcome_unknown_total",
     "Non-idempotent requests answered with an unknown outcome."},
    {"gbr_commands_accepted_total", "Operator commands accepted."},
    {"gbr_commands_refused_total",
     "Operator commands that were invalid, in conflict or not run."},
    {"gbr_requests_without_route_total",
     "Requests that no route in force leads anywhere."},
    {"gbr_requests_without_access_total",
     "Requests refused because their caller sent no key of an organisation."},
    {"gbr_requests_not_confirmed_total",
     "Requests refused because the node did not know whether its configuration "
     "was the newest one."},
    {"gbr_requests_within_allotment_total",
     "Requests of organisations with an allotment that were admitted."},
    {"gbr_requests_over_allotment_total",
     "Requests refused because their organisation has used its allotment."},
    {"gbr_callers_gone_total",
     "Requests whose caller closed its connection before the answer."},
    {"gbr_foreign_replies_total",
     "Replies of backend servers to another request than the one sent."},
    {"gbr_server_connects_failed_total",
     "Connections to backend servers that could not be opened."},
    {"gbr_server_statements_malformed_total",
     "Replies in which a server's statement about itself cannot be read."},
    {"gbr_crashing_requests_refused_total",
     "Requests refused because they crash the servers that run them."},
    {"gbr_replies_given_up_total",
     "Replies given up because replies took too much memory."},
    {"gbr_callers_refused_total",
     "Connections refused or closed because callers took too much memory."},
    {"gbr_callers_evicted_total",
     "Connections closed because callers had too many."},
    {"gbr_requests_passed_on_total",
     "Gathered requests passed on to a gathering entry node."},
    {"gbr_gathered_for_others_total",
     "Gathered requests that another entry node passed on to this one."},
    {"gbr_gather_nodes_silent_total",
     "Requests moved because a gathering node did not acknowledge them."},
    {"gbr_gather_nodes_unavailable_total",
     "Requests gathered here because no gathering node took them."},
    {"gbr_routes_stored_total", "Sets of routes acknowledged as stored."},
    {"gbr_routes_refused_total", "Sets of routes refused as invalid."},
    {"gbr_peer_frames_sent_total", "Frames sent to other nodes."},
    {"gbr_peer_frames_received_total", "Frames accepted from other nodes."},
    {"gbr_peer_frames_wrong_mac_total",
     "Frames refused because of a wrong authentication code."},
    {"gbr_peer_frames_other_cluster_total",
     "Frames refused because they name another cluster."},
    {"gbr_peer_frames_old_version_total",
     "Frames refused because of an older protocol version."},
    {"gbr_peer_frames_oversized_total", "Frames refused as oversized."},
    {"gbr_peer_frames_truncated_total", "Frames refused as truncated."},
}};

constexpr std::array<MetricName, kGaugeCount> kGaugeNames = {{
    {"gbr_queries_in_flight", "Queries that run."},
    {"gbr_servers_ready", "Backend servers known as ready."},
    {"gbr_servers_draining", "Backend servers known as draining."},
    {"gbr_servers_limited",
     "Backend servers that name the request rate which they accept."},
    {"gbr_servers_resting",
     "Backend servers that want no requests for some time."},
    {"gbr_servers_leaving",
     "Backend servers that said in a reply that they leave."},
    {"gbr_catalog_version", "Version of the catalog in force at this node."},
    {"gbr_catalog_age_seconds",
     "Time since this node heard that its catalog is the newest one."},
    {"gbr_peers_reachable", "Other nodes heard of within 2 s."},
    {"gbr_is_leader", "1 when this node leads the replicated log."},
    {"gbr_has_leader", "1 when this node knows a leader."},
    {"gbr_term", "Term of the replicated log."},
    {"gbr_commit_index", "Last committed entry of the replicated log."},
    {"gbr_storage_refused",
     "1 when this control node does not vote because its data folder is not "
     "the one in the membership."},
    {"gbr_ready", "1 when the balancer is told that this node is ready."},
    {"gbr_routes_version", "Version of the routes in force at this node."},
    {"gbr_control_answer_age_seconds",
     "Time since a control VM answered this entry node."},
    {"gbr_entry_nodes", "Entry nodes that share the servers' limits."},
    {"gbr_crash_records",
     "Requests for which a crash of a server is recorded."},
    {"gbr_reply_memory_bytes", "Memory that replies take."},
    {"gbr_gather_nodes",
     "Entry nodes that gather for the others; 0 if each gathers for itself."},
    {"gbr_log_voters", "Voters of the replicated log."},
    {"gbr_log_voters_present",
     "Voters that this control VM hears of and that have their disks."},
    {"gbr_log_tolerated_losses",
     "Voters that may still be lost; negative when there is no majority."},
}};

// A missing name leaves an empty element at the end.
static_assert(!kCounterNames.back().name.empty());
static_assert(!kGaugeNames.back().name.empty());

}  // namespace

MetricName NameOf(Counter counter) {
  return kCounterNames.at(static_cast<size_t>(counter));
}

MetricName NameOf(Gauge gauge) {
  return kGaugeNames.at(static_cast<size_t>(gauge));
}

}  // namespace gooseberryrock::telemetry
