// The platform's balancer as the load tool imitates it: round robin over the
// nodes whose ready check succeeds.

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
  // `nodes` are "host:port". Checks each of them once before it returns.
  explicit Balancer(const std::vector<std::string>& nodes);
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;
  ~Balancer();

  // Nothing when no node is ready.
  std::optional<NodeAddress> Pick();

 private:
  struct Node {
    NodeAddress address;
    bool ready = false;
  };

  void CheckAll();
  void Run();

  std::mutex mutex_;
  // Guarded by `mutex_`; the addresses do not change.
  std::vector<Node> nodes_;
  size_t next_ = 0;
  bool stopping_ = false;
  std::condition_variable stopped_;
  std::thread thread_;
};

}  // namespace gooseberryrock::load

#endif  // GOOSEBERRYROCK_APPS_LOAD_BALANCER_H_
