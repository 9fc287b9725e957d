// Generates ids of commands and requests.

#include "command_id.h"

#include <sodium.h>

#include <array>
#include <chrono>

#include "gooseberryrock/base/error.h"

namespace gooseberryrock::ctl {

std::string GenerateId(WallTime now) {
  if (sodium_init() < 0) {
    throw Error("libsodium could not be initialized");
  }
  std::array<unsigned char, 8> random;
  randombytes_buf(random.data(), random.size());
  std::array<char, 2 * random.size() + 1> hex;
  sodium_bin2hex(hex.data(), hex.size(), random.data(), random.size());
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      now.time_since_epoch());
  return std::to_string(ms.count()) + "-" + hex.data();
}

}  // namespace gooseberryrock::ctl
