// gbrctl: command line tool for operators.

#include <CLI/CLI.hpp>

#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "ctl_options.h"
#include "exit_code.h"
#include "explain_command.h"
#include "gooseberryrock/base/error.h"
#include "operator.pb.h"
#include "operator_commands.h"
#include "query_command.h"
#include "usage_error.h"

namespace {

namespace ctl = gooseberryrock::ctl;
namespace proto = gooseberryrock::proto;
using ctl::ExitCode;
using Action = std::function<ExitCode()>;

constexpr char kExamples[] =
    "Examples:\n"
    "  export GBR_NODE=10.20.1.11:8080,10.20.2.11:8080\n"
    "  gbrctl --token-file operator.token service put till-reports.json\n"
    "  gbrctl --token-file operator.token catalog\n"
    "  gbrctl query free-chair-finder 'tuesday afternoon' --rank urgent\n"
    "A command that may have run is sent again with the printed --command-id\n"
    "and --expected-version; it then takes effect at most once.\n"
    "Exit codes: 0 ok, 1 usage, 2 invalid, 3 conflict, 4 outcome unknown,\n"
    "5 not run, 6 unauthorized, 7 command id reused, 8 not in force,\n"
    "9 partial answer, 10 failed.";

// Values of the command line. Must outlive the parser, which stores references
// to them.
struct Arguments {
  ctl::CtlOptions options;
  uint64_t timeout_ms = 5000;
  std::string name;
  uint64_t version = 0;
  std::vector<std::string> reservation;
  proto::ChangeMembershipRequest membership;
  std::string node;
  std::string storage_id;
  std::string peer_address;
  ctl::QueryArguments query;
  std::string request_id;
  std::vector<std::string> files;
};

void AddSharedOptions(CLI::App& app, Arguments& arguments) {
  ctl::CtlOptions& options = arguments.options;
  app.set_version_flag("--version", "gbrctl " GOOSEBERRYROCK_VERSION);
  app.add_option("--node", options.nodes,
                 "Node to call; repeat it to name others that are tried in "
                 "turn (default: 127.0.0.1:8080)")
      ->envname("GBR_NODE")
      ->delimiter(',')
      ->take_all()
      ->allow_extra_args(false)
      ->type_name("HOST:PORT");
  app.add_option("--token-file", options.token_file,
                 "File whose first line is the operator token (default: the "
                 "environment variable GBR_OPERATOR_TOKEN)")
      ->type_name("FILE");
  app.add_flag("--json", options.json, "Print replies as one line of JSON");
  const std::map<std::string, uint64_t> units = {{"ms", 1}, {"s", 1000}};
  app.add_option("--timeout", arguments.timeout_ms,
                 "Time for one call, 1ms to 3600s, like 500ms (default: 5s)")
      ->transform(CLI::AsNumberWithUnit(
                      units, CLI::AsNumberWithUnit::UNIT_REQUIRED, "TIME")
                      .description(""))
      ->check(CLI::Range(uint64_t{1}, uint64_t{3600000}).description(""))
      ->type_name("TIME");
  app.add_option("--command-id", options.command_id,
                 "Id of the command, to send one again")
      ->type_name("ID");
  app.add_option("--expected-version", options.expected_version,
                 "Catalog version that the command applies to (default: the "
                 "current one)")
      ->type_name("VERSION");
  app.footer(kExamples);
  app.require_subcommand(1);
}

CLI::App* AddCommand(CLI::App& app,
                     const std::string& name,
                     const std::string& help,
                     const std::string& example) {
  CLI::App* sub = app.add_subcommand(name, help);
  sub->fallthrough();
  sub->footer("Example: " + example);
  return sub;
}

void AddServiceCommands(CLI::App& app, Arguments& arguments, Action& action) {
  CLI::App* service =
      app.add_subcommand("service", "Create, remove and show services");
  service->fallthrough();
  service->require_subcommand(1);
  const auto add =
      [&](const std::string& name, const std::string& help,
          const std::string& example, const std::string& argument,
          const std::string& argument_help,
          ExitCode (*run)(const ctl::CtlOptions&, const std::string&)) {
        CLI::App* sub = AddCommand(*service, name, help, example);
        sub->add_option(argument, arguments.name, argument_help)->required();
        sub->callback([&arguments, &action, run] {
          action = [&arguments, run] {
            return run(arguments.options, arguments.name);
          };
        });
      };
  add("put", "Create a service or replace its definition",
      "gbrctl service put till-reports.json", "FILE",
      "Service definition: JSON with comments; - for standard input",
      ctl::PutService);
  add("remove", "Remove a service", "gbrctl service remove till-reports",
      "NAME", "Name of the service", ctl::RemoveService);
  add("show", "Show the definition of a service",
      "gbrctl service show till-reports", "NAME", "Name of the service",
      ctl::ShowService);
  AddCommand(*service, "list", "List the services", "gbrctl service list")
      ->callback([&] {
        action = [&] { return ctl::ListServices(arguments.options); };
      });
}

void AddCatalogCommands(CLI::App& app, Arguments& arguments, Action& action) {
  CLI::App* reservation = app.add_subcommand(
      "reservation", "For how many nodes connection limits are divided");
  reservation->fallthrough();
  reservation->require_subcommand(1);
  CLI::App* set = AddCommand(*reservation, "set", "Set the reservation",
                             "gbrctl reservation set a=2 b=2 c=3");
  set->add_option("DOMAIN=N", arguments.reservation,
                  "Nodes of each failure domain")
      ->required();
  set->callback([&] {
    action = [&] {
      return ctl::SetReservation(arguments.options, arguments.reservation);
    };
  });
  AddCommand(app, "catalog", "Show the catalog", "gbrctl catalog")
      ->callback([&] {
        action = [&] { return ctl::ShowCatalog(arguments.options); };
      });
  CLI::App* wait = AddCommand(app, "wait", "Wait until a version is in force",
                              "gbrctl wait 7 --timeout 10s");
  wait->add_option("VERSION", arguments.version, "Catalog version")->required();
  wait->callback([&] {
    action = [&] {
      return ctl::WaitInForce(arguments.options, arguments.version);
    };
  });
  AddCommand(app, "status", "Show nodes, control nodes and backend servers",
             "gbrctl status")
      ->callback(
          [&] { action = [&] { return ctl::ShowStatus(arguments.options); }; });
}

void AddMemberCommands(CLI::App& app, Arguments& arguments, Action& action) {
  CLI::App* member = app.add_subcommand(
      "member", "Change which control nodes take part in the replicated log");
  member->fallthrough();
  member->require_subcommand(1);
  const auto add = [&](const std::string& name, const std::string& help,
                       const std::string& example,
                       proto::MembershipAction change) {
    CLI::App* sub = AddCommand(*member, name, help, example);
    sub->add_option("NODE", arguments.node, "Id of the node")->required();
    sub->callback([&, change] {
      action = [&, change] {
        arguments.membership.set_action(change);
        arguments.membership.set_node(arguments.node);
        arguments.membership.set_storage_id(arguments.storage_id);
        arguments.membership.set_peer_address(arguments.peer_address);
        return ctl::ChangeMembership(arguments.options, arguments.membership);
      };
    });
    return sub;
  };
  CLI::App* learner =
      add("add", "Add a node as a learner without a vote",
          "gbrctl member add node-c1 --storage-id 5f0c --peer-address "
          "10.20.3.11:8090",
          proto::ADD_LEARNER);
  learner
      ->add_option("--storage-id", arguments.storage_id,
                   "Storage id, which the node logs when it starts")
      ->required();
  learner
      ->add_option("--peer-address", arguments.peer_address,
                   "Address for the other nodes")
      ->required()
      ->type_name("HOST:PORT");
  add("promote", "Give a learner that has caught up a vote",
      "gbrctl member promote node-c1", proto::PROMOTE);
  add("remove", "Remove a node", "gbrctl member remove node-c1", proto::REMOVE);
}

void AddQueryCommand(CLI::App& app, Arguments& arguments, Action& action) {
  ctl::QueryArguments& query = arguments.query;
  CLI::App* sub = AddCommand(
      app, "query", "Send a test query as a caller",
      "gbrctl query free-chair-finder 'tuesday afternoon' --rank urgent");
  sub->add_option("SERVICE", query.service, "Name of the service")->required();
  sub->add_option("TEXT", query.text, "Text of the query")->required();
  sub->add_option("--rank", query.rank,
                  "urgent, normal or background (default: normal)")
      ->check(CLI::IsMember({"urgent", "normal", "background"}))
      ->type_name("RANK");
  sub->add_option("--tenant", query.tenant, "Tenant, for metrics");
  sub->add_option("--routing-key", query.routing_key,
                  "Send the query only to the shard of this key");
  sub->add_option("--row-limit", query.row_limit,
                  "Most rows in the answer (default: the service's limit)");
  sub->add_option("--request-id", query.request_id,
                  "Id of the request, to send one again");
  sub->add_flag("--non-idempotent", query.non_idempotent,
                "Run the request at most once; needs --routing-key");
  sub->callback(
      [&] { action = [&] { return ctl::Query(arguments.options, query); }; });
}

void AddExplainCommand(CLI::App& app, Arguments& arguments, Action& action) {
  CLI::App* sub =
      AddCommand(app, "explain", "Say from logs why a request failed",
                 "gbrctl explain 61b09e97f0076b10 entry-*.log");
  sub->add_option("REQUEST_ID", arguments.request_id, "Id of the request")
      ->required();
  sub->add_option("FILE", arguments.files, "Logs of the nodes")->required();
  sub->callback([&] {
    action = [&] {
      return ctl::Explain(arguments.options, arguments.request_id,
                          arguments.files);
    };
  });
}

ExitCode ParseAndRun(CLI::App& app, int argc, char** argv) {
  Arguments arguments;
  Action action;
  AddSharedOptions(app, arguments);
  AddServiceCommands(app, arguments, action);
  AddCatalogCommands(app, arguments, action);
  AddMemberCommands(app, arguments, action);
  AddQueryCommand(app, arguments, action);
  AddExplainCommand(app, arguments, action);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    // Prints the help, the version or the parse error.
    return app.exit(e) == 0 ? ExitCode::kOk : ExitCode::kUsage;
  }
  ctl::CtlOptions& options = arguments.options;
  options.timeout = std::chrono::milliseconds(arguments.timeout_ms);
  options.arguments.assign(argv + 1, argv + argc);
  if (options.nodes.empty()) {
    options.nodes = {"127.0.0.1:8080"};
  }
  return action();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Operates a gooseberryrock cluster", "gbrctl");
  try {
    return static_cast<int>(ParseAndRun(app, argc, argv));
  } catch (const ctl::UsageError& e) {
    std::cerr << "gbrctl: " << e.what() << "\n";
    return static_cast<int>(ExitCode::kUsage);
  } catch (const gooseberryrock::Error& e) {
    std::cerr << "gbrctl: " << e.what() << "\n";
    return static_cast<int>(ExitCode::kFailed);
  }
}
