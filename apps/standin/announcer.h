// Sends the announcements of a stand-in backend server to the nodes.

#ifndef GOOSEBERRYROCK_APPS_STANDIN_ANNOUNCER_H_
#define GOOSEBERRYROCK_APPS_STANDIN_ANNOUNCER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gooseberryrock::standin {

class Announcer {
 public:
  // Returns the body of an announcement. Called on the announcer's thread.
  using BodySource = std::function<std::string()>;
  // Called on the announcer's thread when a node requests a new incarnation,
  // without which it would no longer use the server.
  using OutdatedHandler = std::function<void()>;

  // Sends each announcement to all `nodes` ("host:port") when `to_all` is set.
  // Otherwise sends it to one node, and to the next one when that fails.
  Announcer(std::vector<std::string> nodes,
            bool to_all,
            BodySource body,
            OutdatedHandler on_outdated);
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;
  // Sends a final announcement and stops.
  ~Announcer();

  // Sends an announcement immediately instead of after the interval.
  void AnnounceNow();

 private:
  void Run();
  void AnnounceOnce();

  const std::vector<std::string> nodes_;
  const bool to_all_;
  const BodySource body_;
  const OutdatedHandler on_outdated_;
  // Used on the announcer's thread only.
  size_t node_ = 0;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  bool announce_now_ = true;
  bool stopping_ = false;
  std::condition_variable changed_;
  std::thread thread_;
};

}  // namespace gooseberryrock::standin

#endif  // GOOSEBERRYROCK_APPS_STANDIN_ANNOUNCER_H_
