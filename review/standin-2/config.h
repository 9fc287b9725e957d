// The config that the cases send.

#ifndef GOOSEBERRYROCK_REVIEW_STANDIN_2_CONFIG_H_
#define GOOSEBERRYROCK_REVIEW_STANDIN_2_CONFIG_H_

#include <string>

namespace gooseberryrock::review {

// One route to one service, with the given version.
inline std::string MakeConfig(int version) {
  return R"({"version": )" + std::to_string(version) +
         R"(, "routes": [{"name": "r-1", "hostname": "search.example",
"path_prefix": "/chairs/", "route_type": "idempotent", "timeout_ms": 2000,
"target_latency_ms": 200, "priority": 0, "service": "chairs", "attempts": 2}],
"services": [{"name": "chairs", "health_check_path": "/health",
"max_connections": 30, "protocol": "h1", "tls": false}],
"limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
"header_timeout_ms": 3000, "idle_timeout_ms": 15000}})";
}

}  // namespace gooseberryrock::review

#endif  // GOOSEBERRYROCK_REVIEW_STANDIN_2_CONFIG_H_
