#ifndef PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_ENDPOINT_VALUE_H_
#define PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_ENDPOINT_VALUE_H_

#include <optional>
#include <string_view>
#include <vector>

#include "peridotmill_core/platform/endpoint_load.h"
#include "peridotmill_core/platform/host_list.h"
#include "peridotmill_membership/messages/peer_message.h"

namespace peridotmill {

Fingerprint FingerprintOf(std::string_view name);
uint32_t ShortFingerprintOf(std::string_view name);
uint32_t DomainPoolFingerprint(const FailureDomainId& domain,
                               const PoolId& pool);
uint16_t IncarnationTag(Incarnation incarnation);

// Counts up to 16 are exact; above, steps are an eighth of the value, so that
// small changes of a busy endpoint are not sent.
uint16_t QuantiseCount(int64_t count);

// Load of an endpoint in the form that is shared; `load` is empty when the
// endpoint could not be read.
EndpointValue QuantiseLoad(const EndpointRecord& record,
                           const std::optional<EndpointLoad>& load);
EndpointModels ModelsOf(const EndpointRecord& record, const EndpointLoad& load);

uint32_t ValueHash(const EndpointValue& value,
                   const std::vector<Fingerprint>& models);

}  // namespace peridotmill

#endif  // PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_ENDPOINT_VALUE_H_
