// Formats replies as human-readable text.

#include "render.h"

#include <algorithm>
#include <map>
#include <vector>

#include "caller.pb.h"
#include "operator.pb.h"

namespace gooseberryrock::ctl {

namespace {

using Row = std::vector<std::string>;

// Formats rows with aligned columns that are two spaces apart.
std::string RenderTable(const std::vector<Row>& rows) {
  std::vector<size_t> widths;
  for (const Row& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const Row& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) {
        line.append(widths[i] - row[i].size() + 2, ' ');
      }
    }
    text += line + "\n";
  }
  return text;
}

template <typename Strings>
std::string Join(const Strings& strings) {
  std::string text;
  for (const std::string& it : strings) {
    text += (text.empty() ? "" : ", ") + it;
  }
  return text.empty() ? "none" : text;
}

std::string RenderLayouts(const proto::ServiceDefinition& service) {
  std::string text;
  for (const auto& layout : service.layouts()) {
    text += text.empty() ? "" : ", ";
    text += "version " + std::to_string(layout.version()) + " with " +
            std::to_string(layout.shards_size()) + " shards";
  }
  return text;
}

}  // namespace

std::string RenderServices(const proto::GetCatalogReply& reply) {
  std::vector<Row> rows = {{"SERVICE", "LAYOUTS", "ROW LIMIT", "RULES"}};
  for (const auto& service : reply.catalog().services()) {
    rows.push_back({service.name(), RenderLayouts(service),
                    std::to_string(service.row_limit()),
                    std::to_string(service.rules_size())});
  }
  return RenderTable(rows);
}

std::string RenderCatalog(const proto::GetCatalogReply& reply) {
  std::string text =
      "version " + std::to_string(reply.catalog().version()) +
      (reply.current() ? ", current"
                       : ", last known, heard of " +
                             std::to_string(reply.age_ms()) + " ms ago") +
      "\n";
  const auto& nodes = reply.catalog().reserved_nodes();
  std::vector<std::string> reservation;
  for (const auto& [domain, n] :
       std::map<std::string, uint32_t>(nodes.begin(), nodes.end())) {
    reservation.push_back(domain + "=" + std::to_string(n));
  }
  text += "reserved nodes: " + Join(reservation) + "\n";
  return text + RenderServices(reply);
}

std::string RenderStatus(const proto::GetStatusReply& reply) {
  const auto& control = reply.control();
  std::string text = "node " + reply.node() + ", catalog version " +
                     std::to_string(reply.catalog_version()) + "\n";
  text +=
      "leader " +
      (control.leader().empty() ? std::string("unknown") : control.leader()) +
      ", term " + std::to_string(control.term()) + ", commit index " +
      std::to_string(control.commit_index()) + "\n";
  text += "voters: " + Join(control.voters()) + "\n";
  text += "learners: " + Join(control.learners()) + "\n\n";
  std::vector<Row> nodes = {
      {"NODE", "FAILURE DOMAIN", "CATALOG", "ROLE", "LAST HEARD"}};
  for (const auto& node : reply.nodes()) {
    nodes.push_back({node.id(), node.failure_domain(),
                     std::to_string(node.catalog_version()),
                     node.control() ? "control" : "entry",
                     std::to_string(node.age_ms()) + " ms ago"});
  }
  std::vector<Row> servers = {{"BACKEND SERVER", "SERVICE", "FAILURE DOMAIN",
                               "ADDRESS", "STATE", "INCARNATION", "OWNER"}};
  for (const auto& server : reply.backend_servers()) {
    servers.push_back({server.id(), server.service(), server.failure_domain(),
                       server.address(), server.state(),
                       std::to_string(server.incarnation()), server.owner()});
  }
  return text + RenderTable(nodes) + "\n" + RenderTable(servers);
}

std::string RenderAnswer(const proto::QueryAnswer& answer) {
  std::string text = answer.status();
  if (!answer.reason().empty()) {
    text += ", " + answer.reason();
  }
  if (answer.coverage().shards_total() > 0) {
    text += ", " + std::to_string(answer.coverage().shards_answered()) +
            " of " + std::to_string(answer.coverage().shards_total()) +
            " shards";
  }
  if (answer.coverage().missing_shards_size() > 0) {
    text += ", missing: " + Join(answer.coverage().missing_shards());
  }
  if (answer.retry_after_ms() > 0) {
    text += ", retry after " + std::to_string(answer.retry_after_ms()) + " ms";
  }
  text += "\n";
  for (const std::string& row : answer.rows()) {
    text += row + "\n";
  }
  return text;
}

}  // namespace gooseberryrock::ctl
