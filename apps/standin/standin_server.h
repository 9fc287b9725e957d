// A stand-in backend server: answers subqueries with rows that name what was
// asked for, and misbehaves on command.

#ifndef GOOSEBERRYROCK_APPS_STANDIN_STANDIN_SERVER_H_
#define GOOSEBERRYROCK_APPS_STANDIN_STANDIN_SERVER_H_

#include <memory>

namespace gooseberryrock::standin {

struct StandinOptions;

class StandinServer {
 public:
  // Throws HttpError when an address cannot be used.
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
