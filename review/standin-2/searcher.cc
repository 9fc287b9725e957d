// Stand-in for a searcher as the users' pages describe it.

#include "searcher.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace gooseberryrock::review {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kBeatInterval(1200);
constexpr milliseconds kWork(60);
constexpr milliseconds kIdleTimeout(15000);

std::string FormatAnswer(const std::string& status,
                         const Headers& headers,
                         const std::string& body) {
  std::string text = "HTTP/1.1 " + status + "\r\n";
  for (const auto& [name, value] : headers) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return text;
}

std::string AnswerRequest(Searcher& searcher, const HttpMessage& request) {
  const bool is_leaving = searcher.is_leaving;
  Headers headers = {{"X-Instance-Id", searcher.id},
                     {"X-Server-Load", "0,0,4"}};
  if (is_leaving) {
    headers.emplace_back("Connection", "close");
    headers.emplace_back("Server-Leaving", "1");
  }
  if (request.start.compare(0, 12, "GET /health ") == 0) {
    return FormatAnswer(is_leaving ? "503 Unavailable" : "200 OK", headers, "");
  }
  const std::string id = FindHeader(request, "X-Request-Id");
  headers.emplace_back("X-Request-Id", id);
  const std::string target = FindHeader(request, "X-Target-Instance");
  if (id.empty() || (!target.empty() && target != searcher.id)) {
    headers.emplace_back("X-Not-Executed", "1");
    return FormatAnswer(
        id.empty() ? "400 Bad Request" : "421 Misdirected Request", headers,
        "");
  }
  {
    std::lock_guard lock(searcher.mutex);
    searcher.runs.push_back({SinceStart(*searcher.record), searcher.id, id});
  }
  Write(*searcher.record, "searcher " + searcher.id + ": runs " + id);
  std::this_thread::sleep_for(kWork);
  headers.emplace_back("X-Server-Stamp", searcher.id + ".1." + id);
  return FormatAnswer("200 OK", headers, "answer of " + searcher.id + "\n");
}

void ServeConnection(Searcher& searcher, int fd) {
  std::string rest;
  while (!searcher.is_stopping) {
    const HttpMessage request = ReadMessage(fd, rest, kIdleTimeout);
    if (!request.complete) {
      break;
    }
    const bool is_leaving = searcher.is_leaving;
    if (!WriteAll(fd, AnswerRequest(searcher, request)) || is_leaving) {
      break;
    }
  }
  {
    std::lock_guard lock(searcher.mutex);
    searcher.connections.erase(fd);
  }
  close(fd);
}

void AcceptConnections(Searcher& searcher, int listener) {
  while (!searcher.is_stopping) {
    pollfd entry{listener, POLLIN, 0};
    if (poll(&entry, 1, 100) <= 0) {
      continue;
    }
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    std::lock_guard lock(searcher.mutex);
    searcher.connections.insert(fd);
    searcher.workers.emplace_back(
        [&searcher, fd] { ServeConnection(searcher, fd); });
  }
  close(listener);
}

std::string BeatBody(const Searcher& searcher, int sequence) {
  return "{\"service\":\"" + searcher.service + "\",\"address\":\"" +
         FormatEndpoint(searcher.address) + "\",\"zone\":\"" + searcher.zone +
         "\",\"version\":\"v1\",\"concurrency_limit\":4,\"state\":\"ready\"," +
         "\"warmup_left_ms\":0,\"sequence\":" + std::to_string(sequence) +
         ",\"born\":" + std::to_string(searcher.born) + "}";
}

// Value of "heartbeat_address" in an answer, or an empty string.
std::string FindBeatAddress(const std::string& body) {
  const std::string name = "\"heartbeat_address\":";
  const size_t at = body.find(name);
  if (at == std::string::npos) {
    return {};
  }
  const size_t begin = body.find('"', at + name.size());
  const size_t end =
      begin == std::string::npos ? begin : body.find('"', begin + 1);
  return end == std::string::npos ? std::string()
                                  : body.substr(begin + 1, end - begin - 1);
}

void SendBeats(Searcher& searcher) {
  const std::vector<Node>& nodes = searcher.tier->controls;
  size_t next = 0;
  std::string home;
  for (int sequence = 1; !searcher.is_stopping && !searcher.is_leaving;
       ++sequence) {
    const Endpoint to =
        home.empty()
            ? ControlAddress(*searcher.tier, nodes[next % nodes.size()])
            : ParseEndpoint(home);
    const HttpMessage answer = Call(
        to, "POST", "/v1/instances/" + searcher.id + "/heartbeat",
        {{"Host", FormatEndpoint(to)}, {"Content-Type", "application/json"}},
        BeatBody(searcher, sequence), milliseconds(1000));
    milliseconds pause = kBeatInterval;
    if (StatusOf(answer) / 100 == 2) {
      home = FindBeatAddress(answer.body);
      ++searcher.confirmed_beats;
    } else {
      home.clear();
      ++next;
      pause = milliseconds(100);
    }
    const auto until = std::chrono::steady_clock::now() + pause;
    while (!searcher.is_stopping && !searcher.is_leaving &&
           std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(milliseconds(10));
    }
  }
}

}  // namespace

std::unique_ptr<Searcher> StartSearcher(const Tier& tier,
                                        Record& record,
                                        const std::string& id,
                                        const std::string& service,
                                        const std::string& zone,
                                        const Endpoint& address) {
  auto searcher = std::make_unique<Searcher>();
  searcher->id = id;
  searcher->service = service;
  searcher->zone = zone;
  searcher->address = address;
  searcher->tier = &tier;
  searcher->record = &record;
  searcher->born = std::chrono::duration_cast<milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  const int listener = Listen(address);
  if (listener < 0) {
    return nullptr;
  }
  Searcher& self = *searcher;
  self.acceptor =
      std::thread([&self, listener] { AcceptConnections(self, listener); });
  self.beats = std::thread([&self] { SendBeats(self); });
  Write(record, "searcher " + id + ": starts at " + FormatEndpoint(address));
  return searcher;
}

bool Leave(Searcher& searcher, const Node& control) {
  searcher.is_leaving = true;
  if (searcher.beats.joinable()) {
    searcher.beats.join();
  }
  const Endpoint to = ControlAddress(*searcher.tier, control);
  const HttpMessage answer = Call(
      to, "POST", "/v1/instances/" + searcher.id + "/deregister",
      {{"Host", FormatEndpoint(to)}, {"Content-Type", "application/json"}},
      "{\"born\":" + std::to_string(searcher.born) + "}", milliseconds(1000));
  Write(*searcher.record, "searcher " + searcher.id + ": deregisters at " +
                              control.name + ": status " +
                              std::to_string(StatusOf(answer)));
  return StatusOf(answer) / 100 == 2;
}

void StopSearcher(Searcher& searcher) {
  searcher.is_stopping = true;
  if (searcher.beats.joinable()) {
    searcher.beats.join();
  }
  if (searcher.acceptor.joinable()) {
    searcher.acceptor.join();
  }
  {
    std::lock_guard lock(searcher.mutex);
    for (int fd : searcher.connections) {
      shutdown(fd, SHUT_RDWR);
    }
  }
  for (std::thread& it : searcher.workers) {
    it.join();
  }
}

std::vector<Run> RunsOf(Searcher& searcher) {
  std::lock_guard lock(searcher.mutex);
  return searcher.runs;
}

}  // namespace gooseberryrock::review
