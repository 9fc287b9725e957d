// Latest information that a control VM sent about itself.

#ifndef GOOSEBERRYROCK_CONTROL_VM_CONTACT_H_
#define GOOSEBERRYROCK_CONTROL_VM_CONTACT_H_

#include <string>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::control {

struct VmContact {
  // Empty until the first hello.
  std::string storage_id;
  SteadyTime last_contact;
  // The VM shuts down.
  bool leaving = false;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_VM_CONTACT_H_
