// Start-up options of a stand-in backend server.

#ifndef GOOSEBERRYROCK_APPS_STANDIN_STANDIN_OPTIONS_H_
#define GOOSEBERRYROCK_APPS_STANDIN_STANDIN_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "behaviour.h"

namespace gooseberryrock::standin {

struct StandinOptions {
  std::string id;
  std::string service;
  std::string failure_domain;
  std::string host = "127.0.0.1";
  // Port for subqueries and cancellations.
  uint16_t port = 0;
  // Port of the test interface: behaviour changes, statistics and executions.
  // Its connections are not counted.
  uint16_t control_port = 0;
  // Addresses of the nodes ("host:port").
  std::vector<std::string> nodes;
  // Announce to every node instead of one at a time.
  bool announce_to_all = false;
  // "name=value" pairs.
  std::vector<std::string> labels;
  uint32_t slots = 3;
  uint64_t seed = 1;
  // Initial behaviour, which can be changed through the control port.
  Behaviour behaviour;
};

}  // namespace gooseberryrock::standin

#endif  // GOOSEBERRYROCK_APPS_STANDIN_STANDIN_OPTIONS_H_
