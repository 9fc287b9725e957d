// Simulates the platform's load balancer: round robin over the nodes whose
// readiness check succeeds.

#ifndef GOOSEBERRYROCK_APPS_LOAD_BALANCER_H_
#define GOOSEBERRYROCK_APPS_LOAD_BALANCER_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace gooseberryrock::load {

struct NodeAddress {
  std::string host;
  uint16_t port = 0;
};

class Balancer {
 public:
  // `nodes` are "host:port". Checks the readiness of each node before it
  // returns.
  explicit Balancer(const std::vector<std::string>& nodes);
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;
  ~Balancer();

  // Returns the next ready node, or nullopt when none is ready.
  std::optional<NodeAddress> Pick();

 private:
  struct Node {
    NodeAddress address;
    bool ready = false;
  };

  void CheckAllNodes();
  void Run();

  std::mutex mutex_;
  // Guarded by `mutex_`, except for the addresses, which do not change.
  std::vector<Node> nodes_;
  size_t next_ = 0;
  bool stopping_ = false;
  std::condition_variable stopped_;
  std::thread thread_;
};

}  // namespace gooseberryrock::load

#endif  // GOOSEBERRYROCK_APPS_LOAD_BALANCER_H_
