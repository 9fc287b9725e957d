// A small deployment of the project's programs on loopback addresses: control
// VMs and entry VMs, each with an address of its own, started with the commands
// of the deploy file and settings that follow its template.

#ifndef GOOSEBERRYROCK_REVIEW_STANDIN_2_TIER_H_
#define GOOSEBERRYROCK_REVIEW_STANDIN_2_TIER_H_

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"

namespace gooseberryrock::review {

struct Node {
  std::string name;
  std::string role;
  std::string zone;
  std::string host;
  std::string folder;
  pid_t pid = 0;
};

struct Tier {
  std::string program;
  std::string folder;
  // First three numbers of all addresses, such as "127.3.4".
  std::string prefix;
  int control_port = 0;
  int caller_port = 0;
  int ready_port = 0;
  int peer_port = 0;
  // Machines with a disk that may be lost at once. The other bounds of the
  // settings are those of the small sites (1) or of the grown ones (2).
  int tolerated_losses = 1;
  std::vector<Node> controls;
  std::vector<Node> entries;
};

// Plans the VMs on free ports. Returns false if none are free.
bool PlanTier(Tier& tier,
              const std::string& program,
              const std::string& folder,
              size_t controls,
              size_t entries);

// Starts the process of a VM. `first_start` is the platform's word that the
// whole system starts for the first time, with empty disks.
bool StartNode(const Tier& tier, Node& node, bool first_start, Record& record);
void KillNode(Node& node, Record& record);
bool IsRunning(Node& node);
void StopTier(Tier& tier, Record& record);

Endpoint ControlAddress(const Tier& tier, const Node& node);
Endpoint CallerAddress(const Tier& tier, const Node& node);

// Sends an order to the control VMs in turn, with growing pauses, until one
// confirms it or `timeout` has passed. Returns the index of the VM that
// confirmed it, or -1.
int SendOrder(const Tier& tier,
              const std::string& path,
              const std::string& body,
              std::chrono::milliseconds timeout,
              Record& record);

}  // namespace gooseberryrock::review

#endif  // GOOSEBERRYROCK_REVIEW_STANDIN_2_TIER_H_
