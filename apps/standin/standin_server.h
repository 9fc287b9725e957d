// Stand-in backend server: replies to subqueries with rows that repeat the
// requested shard, snapshot, request id and text, and injects faults on
// request.

#ifndef GOOSEBERRYROCK_APPS_STANDIN_STANDIN_SERVER_H_
#define GOOSEBERRYROCK_APPS_STANDIN_STANDIN_SERVER_H_

#include <memory>

namespace gooseberryrock::standin {

struct StandinOptions;

class StandinServer {
 public:
  // Throws HttpError when it cannot listen on an address.
  explicit StandinServer(const StandinOptions& options);
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;
  // Announces the state "gone" and stops.
  ~StandinServer();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::standin

#endif  // GOOSEBERRYROCK_APPS_STANDIN_STANDIN_SERVER_H_
