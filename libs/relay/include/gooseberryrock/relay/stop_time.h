// Requests at a node that stops: none is cut off without an answer.

#ifndef GOOSEBERRYROCK_RELAY_STOP_TIME_H_
#define GOOSEBERRYROCK_RELAY_STOP_TIME_H_

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::routes {
struct Route;
}  // namespace gooseberryrock::routes

namespace gooseberryrock::relay {

struct RequestState;

// Whether a request on `route` is likely to be answered before `answer_by`.
// Otherwise it is refused at once, while another node still has time for it.
bool FitsBefore(SteadyTime answer_by,
                const routes::Route& route,
                SteadyTime now);

// Makes the request end by `answer_by`: with an answer if there is one, and
// otherwise with a failure that says whether it may have run.
void AnswerBy(RequestState& state, SteadyTime answer_by);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_STOP_TIME_H_
