#ifndef PERIDOTMILL_NODE_REQUESTS_BODIES_H_
#define PERIDOTMILL_NODE_REQUESTS_BODIES_H_

#include <cstdint>
#include <string>

#include "peridotmill_node/requests/request_state.h"

namespace peridotmill {

// JSON body of an attempt of `stage`; a stream resumes after the tokens that
// the stage already has.
std::string AttemptBody(const RequestState& request,
                        const Stage& stage,
                        const AttemptId& attempt,
                        std::chrono::milliseconds remaining);

// Result of a stage that answered with `text` tokens.
std::string StreamResult(const std::string& text, uint64_t tokens);

// The `result` member of a service's answer, or empty when the body is not the
// answer of a service.
std::string ServiceResult(const std::string& body);

// One event of a streamed answer.
std::string StreamChunk(const RequestState& request,
                        const std::string& text,
                        int64_t created);

// Last event of a streamed answer.
std::string StreamEnd(const RequestState& request, int64_t created);

// Whole answer of a request that is not streamed.
std::string WholeAnswer(const RequestState& request, int64_t created);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_REQUESTS_BODIES_H_
