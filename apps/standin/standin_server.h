// A stand-in backend server for tests and the quick start.

#ifndef GOOSEBERRYROCK_APPS_STANDIN_STANDIN_SERVER_H_
#define GOOSEBERRYROCK_APPS_STANDIN_STANDIN_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::standin {

struct StandinOptions {
  std::string id;
  std::string service;
  std::string failure_domain;
  std::string host = "127.0.0.1";
  uint16_t port = 0;
  // "host:port" of the nodes; announcements go to one of them at a time.
  std::vector<std::string> nodes;
  std::vector<std::string> shards;
  uint64_t layout_version = 1;
  uint64_t index_version = 1;
  uint32_t slots = 3;
  uint32_t connection_limit = 30;
  Duration service_time = std::chrono::milliseconds(2);
};

class StandinServer {
 public:
  explicit StandinServer(const StandinOptions& options);
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;
  // Announces that the server has gone and stops.
  ~StandinServer();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::standin

#endif  // GOOSEBERRYROCK_APPS_STANDIN_STANDIN_SERVER_H_
