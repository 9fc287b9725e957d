// Posts the announcements of a stand-in backend server to the nodes.

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
  // Called on the announcer's thread for the body of each announcement.
  using BodySource = std::function<std::string()>;
  // Called on the announcer's thread when a node says that the server must
  // raise its incarnation to be used again.
  using OutdatedHandler = std::function<void()>;

  // Announces to one of `nodes` ("host:port") and goes on to the next one when
  // that fails, or to all of them.
  Announcer(std::vector<std::string> nodes,
            bool to_all,
            BodySource body,
            OutdatedHandler on_outdated);
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;
  // Announces a last time and stops.
  ~Announcer();

  // Announces without waiting for the interval.
  void AnnounceNow();

 private:
  void Run();
  void AnnounceOnce();

  const std::vector<std::string> nodes_;
  const bool to_all_;
  const BodySource body_;
  const OutdatedHandler on_outdated_;
  // Used by the thread only.
  size_t node_ = 0;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  bool due_ = true;
  bool stopping_ = false;
  std::condition_variable changed_;
  std::thread thread_;
};

}  // namespace gooseberryrock::standin

#endif  // GOOSEBERRYROCK_APPS_STANDIN_ANNOUNCER_H_
