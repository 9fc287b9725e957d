// Multiplies a duration by a factor.

#ifndef GOOSEBERRYROCK_LIBS_RELAY_SRC_SCALE_H_
#define GOOSEBERRYROCK_LIBS_RELAY_SRC_SCALE_H_

#include <chrono>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::relay {

inline Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_LIBS_RELAY_SRC_SCALE_H_
