// The request rate that an organisation may use.

#ifndef GOOSEBERRYROCK_ORGANISATIONS_ALLOTMENT_H_
#define GOOSEBERRYROCK_ORGANISATIONS_ALLOTMENT_H_

namespace gooseberryrock::organisations {

// Holds for all entry nodes together.
struct Allotment {
  // 0 means no limit.
  double requests_per_second = 0;
  // Requests that may be sent at once after a time without requests.
  double burst = 0;

  bool IsLimited() const { return requests_per_second > 0; }
  bool operator==(const Allotment&) const = default;
};

}  // namespace gooseberryrock::organisations

#endif  // GOOSEBERRYROCK_ORGANISATIONS_ALLOTMENT_H_
