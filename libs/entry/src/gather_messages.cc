// Messages between entry nodes when one gathers for another.

#include "gather_messages.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>

#include "gather.pb.h"
#include "gooseberryrock/proto/binary_codec.h"
#include "gooseberryrock/proto/malformed_message_error.h"

namespace gooseberryrock::entry {

namespace {

namespace http = boost::beast::http;

constexpr char kElapsedHeader[] = "Gbr-Gather-Elapsed-Us";
constexpr char kRoutesVersionHeader[] = "Gbr-Gather-Routes-Version";
constexpr char kAttemptsHeader[] = "Gbr-Gather-Attempts";
constexpr char kOrganisationHeader[] = "Gbr-Gather-Organisation";
// Ranges such as "0-3,7,9-12".
constexpr char kShardsHeader[] = "Gbr-Gather-Shards";
constexpr char kRefusalHeader[] = "Gbr-Gather-Refusal";
constexpr char kProgressHeader[] = "Gbr-Gather-Progress";
// Longer than any request lasts.
constexpr uint64_t kMaxElapsedUs = 3'600'000'000;
constexpr uint64_t kMaxAttempts = 1000;
constexpr uint32_t kMaxShards = 65536;
// How long a node that stops or starts wants no requests; it is asked again
// before the control VMs have noticed that it is back.
constexpr Duration kStoppingRest = std::chrono::seconds(1);
// Below the limit of 8 KiB on the header of a reply.
constexpr size_t kMaxProgressBytes = 6000;

// In the order of the enumerators of GatherRefusal.
constexpr std::array<std::string_view, 3> kRefusalNames = {
    "failed", "try_another_node", "stopping"};

std::string_view ToStringView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

// Parses the number at the start of `text` and removes it from `text`.
std::optional<uint64_t> ConsumeNumber(std::string_view& text) {
  uint64_t number = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (result.ec != std::errc()) {
    return std::nullopt;
  }
  text.remove_prefix(static_cast<size_t>(result.ptr - text.data()));
  return number;
}

std::optional<uint64_t> ReadNumber(const transport::Request& request,
                                   const char* name,
                                   uint64_t max) {
  std::string_view text = ToStringView(request[name]);
  const auto number = ConsumeNumber(text);
  if (request.count(name) != 1 || !text.empty() || !number || *number > max) {
    return std::nullopt;
  }
  return number;
}

std::string EncodeRanges(const std::vector<uint32_t>& numbers) {
  std::string text;
  for (size_t i = 0; i < numbers.size();) {
    size_t end = i + 1;
    while (end < numbers.size() && numbers[end] == numbers[end - 1] + 1) {
      ++end;
    }
    text += (text.empty() ? "" : ",") + std::to_string(numbers[i]);
    if (end > i + 1) {
      text += "-" + std::to_string(numbers[end - 1]);
    }
    i = end;
  }
  return text;
}

bool ConsumeCharacter(std::string_view& text, char wanted) {
  const bool found = !text.empty() && text.front() == wanted;
  text.remove_prefix(found ? 1 : 0);
  return found;
}

std::optional<std::vector<uint32_t>> ReadRanges(std::string_view text) {
  std::vector<uint32_t> numbers;
  do {
    const auto first = ConsumeNumber(text);
    const auto last =
        first && ConsumeCharacter(text, '-') ? ConsumeNumber(text) : first;
    const bool is_ascending =
        first && (numbers.empty() || *first > numbers.back());
    if (!last || !is_ascending || *last < *first || *last >= kMaxShards) {
      return std::nullopt;
    }
    for (uint64_t i = *first; i <= *last; ++i) {
      numbers.push_back(static_cast<uint32_t>(i));
    }
  } while (ConsumeCharacter(text, ','));
  return text.empty() ? std::optional(std::move(numbers)) : std::nullopt;
}

std::string Encode(const relay::GatheredOutcome& outcome) {
  proto::GatherReply message;
  for (const std::string& it : outcome.digests) {
    message.add_digests(it);
  }
  message.set_records(outcome.body);
  return message.SerializeAsString();
}

// Returns nullopt if `bytes` cannot be read.
std::optional<relay::ServerReply> Decode(std::string_view bytes) {
  try {
    auto message = proto::Parse<proto::GatherReply>(bytes);
    relay::ServerReply reply;
    reply.kind = relay::ReplyKind::kSuccess;
    reply.digests.assign(message.digests().begin(), message.digests().end());
    reply.body = std::move(*message.mutable_records());
    return reply;
  } catch (const proto::MalformedMessageError&) {
    return std::nullopt;
  }
}

relay::ServerReply ReplyOf(relay::ReplyKind kind) {
  relay::ServerReply reply;
  reply.kind = kind;
  return reply;
}

}  // namespace

void SetGatherCall(transport::Request& request, const GatherCall& call) {
  const auto us =
      std::chrono::duration_cast<std::chrono::microseconds>(call.elapsed);
  request.set(kElapsedHeader, std::to_string(us.count()));
  request.set(kRoutesVersionHeader, std::to_string(call.routes_version));
  request.set(kAttemptsHeader, std::to_string(call.attempts));
  request.set(kShardsHeader, EncodeRanges(call.shards));
  request.erase(kOrganisationHeader);
  if (!call.organisation.empty()) {
    request.set(kOrganisationHeader, call.organisation.value);
  }
}

std::optional<GatherCall> TakeGatherCall(transport::Request& request) {
  const auto elapsed = ReadNumber(request, kElapsedHeader, kMaxElapsedUs);
  const auto version = ReadNumber(request, kRoutesVersionHeader, UINT64_MAX);
  const auto attempts = ReadNumber(request, kAttemptsHeader, kMaxAttempts);
  auto shards = request.count(kShardsHeader) == 1
                    ? ReadRanges(ToStringView(request[kShardsHeader]))
                    : std::nullopt;
  const bool has_one_organisation = request.count(kOrganisationHeader) <= 1;
  OrganisationName organisation = {request[kOrganisationHeader].to_string()};
  for (const char* it : {kElapsedHeader, kRoutesVersionHeader, kAttemptsHeader,
                         kShardsHeader, kOrganisationHeader}) {
    request.erase(it);
  }
  if (!elapsed || !version || !attempts || *attempts == 0 || !shards ||
      !has_one_organisation) {
    return std::nullopt;
  }
  return GatherCall{std::chrono::microseconds(*elapsed), *version,
                    static_cast<uint32_t>(*attempts), std::move(*shards),
                    std::move(organisation)};
}

transport::Response EncodeGatherRefusal(GatherRefusal refusal) {
  transport::Response response(http::status::service_unavailable, 11);
  const std::string_view name = kRefusalNames.at(static_cast<size_t>(refusal));
  response.set(kRefusalHeader,
               boost::beast::string_view(name.data(), name.size()));
  return response;
}

transport::Response EncodeGatherReply(const relay::GatheredOutcome& outcome) {
  transport::Response response(http::status::ok, 11);
  response.body() = Encode(outcome);
  return response;
}

relay::ServerReply ReadGatherReply(const transport::Response& response) {
  if (response.result() == http::status::ok) {
    return Decode(response.body())
        .value_or(ReplyOf(relay::ReplyKind::kUnusable));
  }
  const auto it = std::find(kRefusalNames.begin(), kRefusalNames.end(),
                            ToStringView(response[kRefusalHeader]));
  if (it == kRefusalNames.end()) {
    return ReplyOf(relay::ReplyKind::kUnusable);
  }
  switch (static_cast<GatherRefusal>(it - kRefusalNames.begin())) {
    case GatherRefusal::kFailed:
      return ReplyOf(relay::ReplyKind::kFailure);
    case GatherRefusal::kTryAnotherNode:
      return ReplyOf(relay::ReplyKind::kNotRun);
    case GatherRefusal::kStopping:
      break;
  }
  relay::ServerReply reply = ReplyOf(relay::ReplyKind::kNotRun);
  reply.rest = kStoppingRest;
  return reply;
}

std::string EncodeGatherProgress(const relay::GatheredOutcome& progress) {
  const std::string bytes = Encode(progress);
  constexpr int kVariant = sodium_base64_VARIANT_ORIGINAL;
  std::string text(sodium_base64_encoded_len(bytes.size(), kVariant), '\0');
  if (text.size() > kMaxProgressBytes) {
    return {};
  }
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), kVariant);
  text.pop_back();
  return std::string(kProgressHeader) + ": " + text + "\r\n";
}

std::optional<relay::ServerReply> ReadGatherProgress(
    const transport::Response& interim) {
  const auto text = interim[kProgressHeader];
  if (text.empty()) {
    return std::nullopt;
  }
  std::string bytes(text.size(), '\0');
  size_t n = 0;
  if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()),
                        bytes.size(), text.data(), text.size(), nullptr, &n,
                        nullptr, sodium_base64_VARIANT_ORIGINAL) != 0) {
    return std::nullopt;
  }
  return Decode({bytes.data(), n});
}

}  // namespace gooseberryrock::entry
