// Tests decoding of control calls and route sets in the platform's format.

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <variant>

#include <nlohmann/json.hpp>

#include "gooseberryrock/control/control_codec.h"
#include "gooseberryrock/organisations/organisation.h"
#include "gooseberryrock/platform/control_codec.h"
#include "gooseberryrock/routes/route_error.h"
#include "gooseberryrock/routes/validate_routes.h"

namespace gooseberryrock::platform {
namespace {

namespace http = boost::beast::http;
using transport::Request;

constexpr char kHeartbeat[] =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
    R"("concurrency_limit":2,"state":"ready","warmup_left_ms":0,)"
    R"("sequence":4,"born":1700000000000})";
constexpr char kConfig[] =
    R"({"version":7,"routes":[{"name":"r","hostname":"h","path_prefix":"/a/",)"
    R"("route_type":"idempotent","timeout_ms":500,"target_latency_ms":50,)"
    R"("priority":0,"shard_services":["s","t"],"attempts":2,"top_k":5,)"
    R"("min_coverage":0.75},{"name":"w","hostname":"h","path_prefix":"/b/",)"
    R"("route_type":"non_idempotent","timeout_ms":500,)"
    R"("target_latency_ms":50,"priority":9,"attempts":1,)"
    R"("weighted_services":[{"service":"s","weight":3},)"
    R"({"service":"t","weight":1}]}],"services":[{"name":"s",)"
    R"("health_check_path":"/health","max_connections":26,"protocol":"h1",)"
    R"("tls":false},{"name":"t","max_connections":9}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

control::ControlCall DecodeCall(http::verb method,
                                const std::string& path,
                                const std::string& body) {
  Request request(method, path, 11);
  request.body() = body;
  return GetControlCodec().parse_call(request);
}

// Guards against an announcement field that is decoded into the wrong value.
TEST(ControlCodecTest, ReadsAnnouncements) {
  const auto call =
      DecodeCall(http::verb::post, "/v1/instances/i-1/heartbeat", kHeartbeat);
  const auto& record = std::get<control::AnnounceCall>(call).record;
  EXPECT_EQ(record.id.value, "i-1");
  EXPECT_EQ(record.incarnation, 1700000000000U);
  EXPECT_EQ(record.service.value, "s");
  EXPECT_EQ(record.failure_domain.value, "z");
  EXPECT_EQ(record.host, "10.0.0.9");
  EXPECT_EQ(record.port, 8080);
  EXPECT_EQ(record.slots, 2U);
  EXPECT_EQ(record.state, directory::ServerState::kReady);
}

// Guards against a cold server that gets all requests, and against a countdown
// that is taken for a change. A server that does not count its announcements
// could stay cold because of a late one.
TEST(ControlCodecTest, ReadsColdServers) {
  const auto read = [](const std::string& fields) {
    const auto call =
        DecodeCall(http::verb::post, "/v1/instances/i-1/heartbeat",
                   R"({"service":"s","address":"10.0.0.9:8080","zone":"z",)"
                   R"("concurrency_limit":2,"state":"ready")" +
                       fields + "}");
    return std::get<control::AnnounceCall>(call).record;
  };
  const auto cold = read(R"(,"born":7,"sequence":4,"warmup_left_ms":900)");
  EXPECT_TRUE(cold.cold);
  EXPECT_EQ(cold.sequence, 4U);
  EXPECT_EQ(read(R"(,"born":7,"sequence":4,"warmup_left_ms":1)"), cold);
  EXPECT_FALSE(read(R"(,"born":7,"sequence":4,"warmup_left_ms":0)").cold);
  EXPECT_FALSE(read(R"(,"born":7,"sequence":4)").cold);
  EXPECT_FALSE(read(R"(,"sequence":4,"warmup_left_ms":900)").cold);
  EXPECT_FALSE(read(R"(,"born":7,"warmup_left_ms":900)").cold);
  EXPECT_EQ(read(R"(,"sequence":4)").sequence, 0U);
}

// Guards against a rate of cold servers that is read as another one.
TEST(ControlCodecTest, ReadsRatesOfColdServers) {
  const auto read = [](const std::string& fields) {
    return GetControlCodec()
        .parse_routes(R"({"version":1,"routes":[],"services":[{"name":"s",)"
                      R"("max_connections":3)" +
                      fields + "}]}")
        .services.at({"s"});
  };
  EXPECT_EQ(read("").cold_requests_per_second, 0);
  const auto service = read(R"(,"warmup_per_s":2.5,"warmup_s":30)");
  EXPECT_EQ(service.cold_requests_per_second, 2.5);
  EXPECT_EQ(service.cold_time, std::chrono::seconds(30));
  EXPECT_EQ(service.connection_limit, 3U);
  for (const std::string field :
       {R"(,"warmup_per_s":-1)", R"(,"warmup_per_s":1e300)",
        R"(,"warmup_per_s":"1")", R"(,"warmup_s":-1)", R"(,"warmup_s":1e9)"}) {
    EXPECT_THROW(read(field), routes::RouteError) << field;
  }
}

// Guards against an order for another failure domain, and against calls that
// are taken for orders.
TEST(ControlCodecTest, ReadsEvacuationOrders) {
  const auto decode = [](const std::string& path) {
    return DecodeCall(http::verb::post, path, "");
  };
  const auto start =
      std::get<control::EvacuateCall>(decode("/v1/evacuation/zone-1/start"));
  EXPECT_EQ(start.domain.value, "zone-1");
  EXPECT_EQ(start.action, routes::EvacuationAction::kStart);
  const auto finish =
      std::get<control::EvacuateCall>(decode("/v1/evacuation/b/finish"));
  EXPECT_EQ(finish.domain.value, "b");
  EXPECT_EQ(finish.action, routes::EvacuationAction::kFinish);
  for (const std::string path :
       {"/v1/evacuation//start", "/v1/evacuation/a%20b/start",
        "/v1/evacuation/a/b/finish"}) {
    EXPECT_TRUE(std::holds_alternative<control::MalformedCall>(decode(path)))
        << path;
  }
  for (const std::string path :
       {"/v1/evacuation/a", "/v1/evacuation/a/stop", "/v1/evacuation/",
        "/v1/evacuation/a/start/"}) {
    EXPECT_TRUE(std::holds_alternative<control::UnknownCall>(decode(path)))
        << path;
  }
  EXPECT_TRUE(std::holds_alternative<control::UnknownCall>(
      DecodeCall(http::verb::get, "/v1/evacuation/a/start", "")));
}

// Guards against a malformed announcement that adds a server.
TEST(ControlCodecTest, RejectsMalformedAnnouncements) {
  const std::string heartbeat = kHeartbeat;
  const auto replaced = [&](const std::string& from, const std::string& to) {
    std::string text = heartbeat;
    return text.replace(text.find(from), from.size(), to);
  };
  for (const std::string& body :
       {std::string(), std::string("{"), std::string("[]"), std::string("7"),
        replaced("\"ready\"", "\"gone\""), replaced("\"ready\"", "3"),
        replaced("\"s\"", "\"\""), replaced("\"s\"", "null"),
        replaced("8080", "0"), replaced("8080", "99999"),
        replaced("10.0.0.9:8080", "nowhere"), replaced("\"zone\"", "\"zo\""),
        replaced(":2,", ":-2,"), replaced("1700000000000", "\"x\"")}) {
    EXPECT_TRUE(std::holds_alternative<control::MalformedCall>(
        DecodeCall(http::verb::post, "/v1/instances/i-1/heartbeat", body)))
        << body;
  }
}

// Guards against a number that another writer left and that is read as another
// one: an incarnation that no later start of the server exceeds, or a version
// that no later configuration exceeds.
TEST(ControlCodecTest, RejectsNumbersOutOfRange) {
  const auto replaced = [](std::string text, const std::string& from,
                           const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
  };
  const std::string odd[] = {"-1",   "1.5",  "1e300", "18446744073709551616",
                             "1e17", "true", "null",  "[1]"};
  for (const std::string& it : odd) {
    for (const char* field :
         {R"("born":1700000000000)", R"("concurrency_limit":2)"}) {
      const std::string name(field, std::string(field).find(':') + 1);
      const auto call =
          DecodeCall(http::verb::post, "/v1/instances/i-1/heartbeat",
                     replaced(kHeartbeat, field, name + it));
      EXPECT_TRUE(std::holds_alternative<control::MalformedCall>(call))
          << name << it;
    }
    EXPECT_TRUE(std::holds_alternative<control::MalformedCall>(
        DecodeCall(http::verb::post, "/v1/instances/i-1/deregister",
                   "{\"born\":" + it + "}")))
        << it;
    EXPECT_TRUE(std::holds_alternative<control::MalformedCall>(
        DecodeCall(http::verb::post, "/v1/config/replace",
                   replaced(kConfig, "\"version\":7", "\"version\":" + it))))
        << it;
    for (const char* field :
         {R"("timeout_ms":500)", R"("target_latency_ms":50)", R"("priority":0)",
          R"("attempts":2)", R"("top_k":5)", R"("weight":3)",
          R"("max_connections":26)", R"("max_header_bytes":16384)",
          R"("idle_timeout_ms":15000)"}) {
      const std::string name(field, std::string(field).find(':') + 1);
      EXPECT_THROW(
          GetControlCodec().parse_routes(replaced(kConfig, field, name + it)),
          routes::RouteError)
          << name << it;
    }
  }
  for (const char* port : {"80x", "", "0", "65536", "4294967376", "-80"}) {
    EXPECT_TRUE(std::holds_alternative<control::MalformedCall>(
        DecodeCall(http::verb::post, "/v1/instances/i-1/heartbeat",
                   replaced(kHeartbeat, "8080", port))))
        << port;
  }
  EXPECT_TRUE(std::holds_alternative<control::AnnounceCall>(
      DecodeCall(http::verb::post, "/v1/instances/i-1/heartbeat",
                 replaced(kHeartbeat, ":2,", ":2.0,"))));
}

// Guards against a configuration whose list of routes, services or shards is
// null or an object, and which is read as empty or as another list: it would be
// acknowledged and take all routes away.
TEST(ControlCodecTest, RejectsListsOfOtherTypes) {
  const auto with = [](const std::string& key, const std::string& value) {
    nlohmann::json config = nlohmann::json::parse(kConfig);
    nlohmann::json& object = key == "shard_services"      ? config["routes"][0]
                             : key == "weighted_services" ? config["routes"][1]
                                                          : config;
    // The values of the object are the elements of the list.
    nlohmann::json elements = nlohmann::json::object();
    for (const auto& it : object[key]) {
      elements[std::to_string(elements.size())] = it;
    }
    object[key] = value == "elements" ? elements : nlohmann::json::parse(value);
    return config.dump();
  };
  ASSERT_NO_THROW(GetControlCodec().parse_routes(kConfig));
  for (const char* key :
       {"routes", "services", "shard_services", "weighted_services"}) {
    for (const char* value : {"null", "{}", "7", "\"s\"", "elements"}) {
      EXPECT_THROW(GetControlCodec().parse_routes(with(key, value)),
                   routes::RouteError)
          << key << " " << value;
    }
  }
}

// Guards against an id that is stored and that no other VM accepts: each delta
// that holds it is refused as a whole.
TEST(ControlCodecTest, RejectsMalformedIds) {
  for (const std::string& id :
       {std::string(), std::string("a%2F"), std::string("a b"),
        std::string("\xff\xfe"), std::string(300, 'a')}) {
    for (const char* call : {"/heartbeat", "/deregister"}) {
      const auto decoded = DecodeCall(http::verb::post,
                                      "/v1/instances/" + id + call, kHeartbeat);
      EXPECT_TRUE(std::holds_alternative<control::MalformedCall>(decoded))
          << id << call;
    }
  }
}

// Guards against nesting that takes more memory than the VM has: 4 MiB of
// brackets become hundreds of megabytes of values.
TEST(ControlCodecTest, RejectsDeepNesting) {
  const std::string deep(1'000'000, '[');
  std::string heartbeat = kHeartbeat;
  heartbeat.insert(1, "\"x\":" + deep + std::string(deep.size(), ']') + ",");
  std::string config = kConfig;
  config.insert(1, "\"x\":" + deep + std::string(deep.size(), ']') + ",");
  EXPECT_TRUE(std::holds_alternative<control::MalformedCall>(
      DecodeCall(http::verb::post, "/v1/instances/i-1/heartbeat", heartbeat)));
  EXPECT_TRUE(std::holds_alternative<control::MalformedCall>(
      DecodeCall(http::verb::post, "/v1/config/replace", config)));
  EXPECT_THROW(GetControlCodec().parse_routes(config), routes::RouteError);
}

TEST(ControlCodecTest, ReadsOtherCalls) {
  const auto withdraw = DecodeCall(
      http::verb::post, "/v1/instances/i-1/deregister", R"({"born":5})");
  EXPECT_EQ(std::get<control::WithdrawCall>(withdraw).incarnation, 5U);
  EXPECT_TRUE(std::holds_alternative<control::ReadRoutesCall>(
      DecodeCall(http::verb::get, "/v1/config/read", "")));
  EXPECT_TRUE(std::holds_alternative<control::UnknownCall>(
      DecodeCall(http::verb::get, "/v1/config/replace", "")));
  EXPECT_TRUE(std::holds_alternative<control::UnknownCall>(
      DecodeCall(http::verb::post, "/v1/instances/i-1", "")));
  const auto put = DecodeCall(http::verb::post, "/v1/config/replace", kConfig);
  EXPECT_EQ(std::get<control::PutRoutesCall>(put).version, 7U);
  EXPECT_EQ(std::get<control::PutRoutesCall>(put).text, kConfig);
}

// Guards against a route field that is decoded into the wrong value.
TEST(ControlCodecTest, ReadsRoutes) {
  const routes::RouteSet set = GetControlCodec().parse_routes(kConfig);
  EXPECT_TRUE(routes::ValidateRoutes(set).empty());
  ASSERT_EQ(set.routes.size(), 2U);
  EXPECT_TRUE(set.routes[0].idempotent);
  EXPECT_EQ(set.routes[0].rank, Rank::kUrgent);
  EXPECT_EQ(std::get<routes::ShardedTarget>(set.routes[0].target).top_records,
            5U);
  EXPECT_FALSE(set.routes[1].idempotent);
  EXPECT_EQ(set.routes[1].rank, Rank::kBackground);
  EXPECT_EQ(
      std::get<routes::WeightedTarget>(set.routes[1].target).services.size(),
      2U);
  EXPECT_EQ(set.services.at({"s"}).connection_limit, 26U);
}

// Guards against malformed input that crashes the process: random mutations of
// valid messages, with a fixed seed, must be decoded or rejected.
TEST(ControlCodecTest, MutatedInputIsDecodedOrRejected) {
  std::mt19937_64 random(20261204);
  for (int round = 0; round < 20000; ++round) {
    std::string text = round % 2 == 0 ? kHeartbeat : kConfig;
    for (uint64_t n = random() % 4 + 1; n > 0; --n) {
      const size_t at = random() % text.size();
      switch (random() % 3) {
        case 0:
          text[at] = static_cast<char>(random());
          break;
        case 1:
          text.erase(at, random() % 20 + 1);
          text += ' ';
          break;
        default:
          text.insert(at, text.substr(random() % text.size(), 10));
      }
    }
    DecodeCall(http::verb::post, "/v1/instances/i-1/heartbeat", text);
    DecodeCall(http::verb::post, "/v1/instances/i-1/deregister", text);
    DecodeCall(http::verb::post, "/v1/config/replace", text);
    try {
      routes::ValidateRoutes(GetControlCodec().parse_routes(text));
    } catch (const routes::RouteError&) {
      // The mutated route set was rejected, as expected.
    }
  }
}

constexpr char kOrganisations[] =
    R"([{"name":"a","api_keys":["secret-1","secret-2"],"priority":7,)"
    R"("rate_per_s":42,"burst":3.5},{"name":"b","api_keys":[]}])";

std::string WithOrganisations(const std::string& organisations) {
  std::string text = kConfig;
  text.insert(text.rfind('}'), ",\"tenants\":" + organisations);
  return text;
}

// Guards against organisations that are read incompletely, and a public route
// that needs a key.
TEST(ControlCodecTest, ReadsOrganisations) {
  std::string text = WithOrganisations(kOrganisations);
  const std::string priority = "\"priority\":0";
  text.insert(text.find(priority), "\"public\":true,");
  const routes::RouteSet set = GetControlCodec().parse_routes(text);
  EXPECT_TRUE(set.routes[0].is_public);
  EXPECT_FALSE(set.routes[1].is_public);
  ASSERT_EQ(set.organisations.size(), 2U);
  const organisations::Organisation& first = set.organisations[0];
  EXPECT_EQ(first.name.value, "a");
  EXPECT_EQ(first.keys, (std::vector{organisations::HashKey("secret-1"),
                                     organisations::HashKey("secret-2")}));
  EXPECT_EQ(first.rank, Rank::kBackground);
  EXPECT_EQ(first.allotment, (organisations::Allotment{42, 3.5}));
  EXPECT_FALSE(set.organisations[1].rank);
  EXPECT_FALSE(set.organisations[1].allotment.IsLimited());
}

// Guards against organisations of a wrong type that are accepted, and against
// an error that quotes a key: errors are logged and returned to the operator.
TEST(ControlCodecTest, RejectsMalformedOrganisationsWithoutQuotingKeys) {
  for (const char* it :
       {"null", R"({"a":["secret"]})", R"([{"name":"a"}])",
        R"([{"name":1,"api_keys":["secret"]}])",
        R"([{"name":"a","api_keys":"secret"}])",
        R"([{"name":"a","api_keys":["secret",1]}])",
        R"([{"name":"a","api_keys":["secret"],"priority":-1}])",
        R"([{"name":"a","api_keys":["secret"],"rate_per_s":"1"}])",
        R"([{"name":"a","api_keys":["secret"],"burst":null}])",
        R"([{"name":"a","api_keys":["secret)", "[\"secret\\x\"]"}) {
    try {
      GetControlCodec().parse_routes(WithOrganisations(it));
      ADD_FAILURE() << it;
    } catch (const routes::RouteError& e) {
      EXPECT_EQ(std::string(e.what()).find("secret"), std::string::npos)
          << e.what();
    }
    const auto call = DecodeCall(http::verb::post, "/v1/config/replace",
                                 WithOrganisations(it));
    if (const auto* malformed = std::get_if<control::MalformedCall>(&call)) {
      EXPECT_EQ(malformed->error.find("secret"), std::string::npos)
          << malformed->error;
    }
  }
}

// Guards against an operator who corrects one problem after the other.
TEST(ControlCodecTest, NamesAllMalformedOrganisations) {
  try {
    GetControlCodec().parse_routes(WithOrganisations(
        R"([{"name":1,"api_keys":[]},{"name":"b"},{"name":"c","api_keys":[]}])"));
    ADD_FAILURE();
  } catch (const routes::RouteError& e) {
    const std::string error = e.what();
    EXPECT_NE(error.find("organisation 1:"), std::string::npos) << error;
    EXPECT_NE(error.find("organisation 2:"), std::string::npos) << error;
    EXPECT_EQ(error.find("organisation 3:"), std::string::npos) << error;
  }
}

}  // namespace
}  // namespace gooseberryrock::platform
