// Base class of all exceptions of the project.

#include "gooseberryrock/base/error.h"

#include <utility>

namespace gooseberryrock {

Error::Error(std::string message) : message_(std::move(message)) {}

const char* Error::what() const noexcept {
  return message_.c_str();
}

}  // namespace gooseberryrock
