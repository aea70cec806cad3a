#include "peridotmill_gateway/peers/stage_message.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_gateway/peers/schema/stage_wire.h"

namespace peridotmill {
namespace {

using StringVector =
    flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;

std::string StringOrEmpty(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

// The handles are not checked: they end only in JSON documents for endpoints,
// which report an unknown handle as a result that is gone.
std::vector<ResultHandle> DecodeInputs(const StringVector* texts) {
  std::vector<ResultHandle> handles;
  if (texts != nullptr) {
    for (const flatbuffers::String* const text : *texts) {
      handles.emplace_back(StringOrEmpty(text));
    }
  }
  return handles;
}

// Errors: kMalformed if one of the texts is not a handle, since an older
// version of this program did not check what endpoints had sent it.
Result<std::vector<ResultHandle>> DecodeResults(const StringVector* texts) {
  std::vector<ResultHandle> handles;
  if (texts != nullptr) {
    for (const flatbuffers::String* const text : *texts) {
      auto handle = ParseResultHandle(StringOrEmpty(text));
      if (!handle) {
        return tl::unexpected(make_error_code(Error::kMalformed));
      }
      handles.push_back(*std::move(handle));
    }
  }
  return handles;
}

flatbuffers::Offset<StringVector> EncodeHandles(
    flatbuffers::FlatBufferBuilder& builder,
    const std::vector<ResultHandle>& handles) {
  std::vector<flatbuffers::Offset<flatbuffers::String>> texts;
  texts.reserve(handles.size());
  for (const ResultHandle& handle : handles) {
    texts.push_back(builder.CreateString(handle.value()));
  }
  return builder.CreateVector(texts);
}

int32_t EncodeRelativeTime(TimePoint time, TimePoint now) {
  constexpr double kLimit = std::numeric_limits<int32_t>::max();
  return static_cast<int32_t>(
      std::clamp(std::round(ToMilliseconds(time - now)), -kLimit, kLimit));
}

uint32_t EncodeDelay(Duration delay) {
  return static_cast<uint32_t>(
      std::max(0, EncodeRelativeTime(TimePoint() + delay, TimePoint())));
}

Duration DecodeDelay(uint32_t milliseconds) {
  return std::chrono::milliseconds(milliseconds);
}

uint32_t EncodeAge(TimePoint time, TimePoint now) {
  return EncodeDelay(now - time);
}

std::vector<uint64_t> HashValues(const std::vector<SuspectId>& parts) {
  std::vector<uint64_t> values;
  values.reserve(parts.size());
  for (const SuspectId part : parts) {
    values.push_back(part.value());
  }
  return values;
}

flatbuffers::Offset<stagewire::Prompt> EncodePrompt(
    flatbuffers::FlatBufferBuilder& builder,
    const PromptDemand& prompt,
    TimePoint now) {
  std::vector<uint64_t> hashes;
  std::vector<int64_t> tokens;
  for (const SharedPrefix& prefix : prompt.shared) {
    hashes.push_back(prefix.hash);
    tokens.push_back(prefix.tokens);
  }
  const auto pool = builder.CreateString(prompt.pool.value());
  const auto hash_vector = builder.CreateVector(hashes);
  const auto token_vector = builder.CreateVector(tokens);
  const auto part_vector = builder.CreateVector(HashValues(prompt.suspects));
  return stagewire::CreatePrompt(
      builder, pool, hash_vector, token_vector, prompt.tokens, part_vector,
      prompt.due ? EncodeRelativeTime(*prompt.due, now) : 0);
}

PromptDemand DecodePrompt(const stagewire::Prompt& wire, TimePoint now) {
  PromptDemand prompt;
  prompt.pool = PoolId(StringOrEmpty(wire.pool()));
  prompt.tokens = wire.tokens();
  if (wire.prefix_hashes() != nullptr && wire.prefix_tokens() != nullptr) {
    const auto count =
        std::min(wire.prefix_hashes()->size(), wire.prefix_tokens()->size());
    for (flatbuffers::uoffset_t i = 0; i < count; ++i) {
      prompt.shared.push_back(
          {wire.prefix_hashes()->Get(i), wire.prefix_tokens()->Get(i)});
    }
  }
  if (wire.part_hashes() != nullptr) {
    const auto count =
        std::min<size_t>(wire.part_hashes()->size(), kMaxTrackedParts + 1);
    for (size_t i = 0; i < count; ++i) {
      prompt.suspects.emplace_back(
          wire.part_hashes()->Get(static_cast<flatbuffers::uoffset_t>(i)));
    }
  }
  if (wire.due_in_ms() != 0) {
    prompt.due = now + std::chrono::milliseconds(wire.due_in_ms());
  }
  return prompt;
}

flatbuffers::Offset<stagewire::CrashReport> EncodeCrash(
    flatbuffers::FlatBufferBuilder& builder,
    const SuspectedCrash& crash,
    TimePoint now) {
  std::vector<uint64_t> parts;
  std::vector<uint32_t> ages;
  std::vector<uint32_t> successes;
  std::vector<uint8_t> positions;
  std::vector<uint32_t> attempt_times;
  for (const Suspect& suspect : crash.suspects) {
    parts.push_back(suspect.id.value());
    ages.push_back(EncodeAge(suspect.at, now));
    successes.push_back(suspect.successes);
    positions.push_back(static_cast<uint8_t>(suspect.position));
    attempt_times.push_back(EncodeAge(suspect.attempt_started_at, suspect.at));
  }
  const auto endpoint =
      builder.CreateString(crash.incarnation.endpoint.value());
  const auto part_vector = builder.CreateVector(parts);
  const auto age_vector = builder.CreateVector(ages);
  const auto success_vector = builder.CreateVector(successes);
  const auto position_vector = builder.CreateVector(positions);
  const auto attempt_vector = builder.CreateVector(attempt_times);
  return stagewire::CreateCrashReport(
      builder, endpoint, crash.incarnation.started_at_ms, part_vector,
      age_vector, success_vector, position_vector, attempt_vector);
}

flatbuffers::Offset<stagewire::PromptNews> EncodeCrashNews(
    flatbuffers::FlatBufferBuilder& builder,
    const CrashNews& news,
    TimePoint now) {
  std::vector<flatbuffers::Offset<stagewire::CrashReport>> crashes;
  for (const SuspectedCrash& crash : news.crashes) {
    crashes.push_back(EncodeCrash(builder, crash, now));
  }
  std::vector<uint64_t> cleared_parts;
  std::vector<uint32_t> cleared_ages;
  for (const ClearedSuspect& cleared : news.cleared) {
    cleared_parts.push_back(cleared.id.value());
    cleared_ages.push_back(EncodeAge(cleared.at, now));
  }
  std::vector<flatbuffers::Offset<stagewire::QuarantineReport>> quarantines;
  for (const QuarantineEntry& quarantine : news.quarantines) {
    quarantines.push_back(stagewire::CreateQuarantineReport(
        builder, quarantine.id.value(), EncodeAge(quarantine.since, now),
        EncodeRelativeTime(quarantine.until, now),
        static_cast<uint8_t>(std::min(quarantine.probes, kMaxProbes))));
  }
  const auto crash_vector = builder.CreateVector(crashes);
  const auto part_vector = builder.CreateVector(cleared_parts);
  const auto age_vector = builder.CreateVector(cleared_ages);
  const auto quarantine_vector = builder.CreateVector(quarantines);
  return stagewire::CreatePromptNews(builder, crash_vector, part_vector,
                                     age_vector, quarantine_vector);
}

std::optional<SuspectedCrash> DecodeCrash(const stagewire::CrashReport& wire,
                                          TimePoint now) {
  if (wire.parts() == nullptr || wire.ages_ms() == nullptr ||
      wire.successes() == nullptr || wire.positions() == nullptr) {
    return std::nullopt;
  }
  SuspectedCrash crash;
  crash.incarnation = {EndpointId(StringOrEmpty(wire.endpoint())),
                       wire.started_at_ms()};
  const size_t count = std::min<size_t>(
      {wire.parts()->size(), wire.ages_ms()->size(), wire.successes()->size(),
       wire.positions()->size(), kMaxSuspectsPerCrash});
  for (size_t n = 0; n < count; ++n) {
    const auto i = static_cast<flatbuffers::uoffset_t>(n);
    Suspect suspect = {.id = SuspectId(wire.parts()->Get(i)),
                       .at = now - DecodeDelay(wire.ages_ms()->Get(i)),
                       .successes = wire.successes()->Get(i),
                       .position = wire.positions()->Get(i)};
    if (wire.attempt_ms() != nullptr && i < wire.attempt_ms()->size()) {
      suspect.attempt_started_at =
          suspect.at - DecodeDelay(wire.attempt_ms()->Get(i));
    }
    crash.suspects.push_back(suspect);
  }
  return crash;
}

CrashNews DecodeCrashNews(const stagewire::PromptNews& wire, TimePoint now) {
  CrashNews news;
  if (wire.crashes() != nullptr) {
    for (const stagewire::CrashReport* const report : *wire.crashes()) {
      auto crash = DecodeCrash(*report, now);
      if (crash && news.crashes.size() < kMaxCrashes) {
        news.crashes.push_back(*std::move(crash));
      }
    }
  }
  if (wire.cleared_parts() != nullptr && wire.cleared_ages_ms() != nullptr) {
    const auto count =
        std::min(wire.cleared_parts()->size(), wire.cleared_ages_ms()->size());
    for (flatbuffers::uoffset_t i = 0; i < count; ++i) {
      news.cleared.push_back(
          {.id = SuspectId(wire.cleared_parts()->Get(i)),
           .at = now - DecodeDelay(wire.cleared_ages_ms()->Get(i))});
    }
  }
  if (wire.quarantines() != nullptr) {
    for (const stagewire::QuarantineReport* const report :
         *wire.quarantines()) {
      if (news.quarantines.size() >= kMaxQuarantines) {
        break;
      }
      news.quarantines.push_back(
          {.id = SuspectId(report->part()),
           .since = now - DecodeDelay(report->since_age_ms()),
           .until = now + std::min<Duration>(
                              std::chrono::milliseconds(report->left_ms()),
                              kMaxQuarantine),
           .probes = std::min<int>(report->probes(), kMaxProbes)});
    }
  }
  return news;
}

constexpr double kNoLimit = -1;
// Higher limits are reduced to this one.
constexpr double kMaxRequestsPerSecond = 1e6;

double EncodeLimit(const std::optional<RequestRate>& limit) {
  return limit ? limit->per_second : kNoLimit;
}

std::optional<RequestRate> DecodeLimit(double limit) {
  // Also false for a value that is not a number.
  if (!(limit >= 0)) {
    return std::nullopt;
  }
  return RequestRate{std::min(limit, kMaxRequestsPerSecond)};
}

EndpointIncarnation MakeIncarnation(const flatbuffers::String* id,
                                    const flatbuffers::String* address,
                                    int64_t started_at_ms) {
  return {.id = EndpointId(StringOrEmpty(id)),
          .address = StringOrEmpty(address),
          .started_at_ms = started_at_ms};
}

PermitRequest DecodePermitRequest(const stagewire::PermitRequest& wire,
                                  TimePoint now) {
  return {.endpoint = MakeIncarnation(wire.endpoint(), wire.address(),
                                      wire.started_at_ms()),
          .limit = DecodeLimit(wire.limit()),
          .limit_observed_at = now - DecodeDelay(wire.limit_age_ms()),
          .count = wire.count()};
}

PermitGrant DecodePermitGrant(const stagewire::PermitGrant& wire,
                              TimePoint now) {
  return {.endpoint = MakeIncarnation(wire.endpoint(), wire.address(),
                                      wire.started_at_ms()),
          .limit = DecodeLimit(wire.limit()),
          .limit_observed_at = now - DecodeDelay(wire.limit_age_ms()),
          .count = wire.count(),
          .retry_after = DecodeDelay(wire.retry_after_ms())};
}

// Visitor that encodes one alternative of StageMessage.
struct MessageEncoder {
  flatbuffers::FlatBufferBuilder& builder;
  TimePoint now;

  flatbuffers::Offset<stagewire::Message> operator()(
      const SubmitTaskMessage& message) {
    const StageTask& task = message.task;
    const auto request = builder.CreateString(task.request.value());
    const auto pool = builder.CreateString(task.pool.value());
    const auto domain = builder.CreateString(task.preferred_domain.value());
    const auto key = builder.CreateString(task.key);
    const auto inputs = EncodeHandles(builder, task.inputs);
    const auto group = builder.CreateString(task.group.value());
    std::vector<flatbuffers::Offset<stagewire::PlannedWork>> plan;
    for (const PlannedWork& work : task.plan) {
      plan.push_back(stagewire::CreatePlannedWork(
          builder, builder.CreateString(work.pool.value()),
          static_cast<uint16_t>(work.items), work.result_bytes,
          EncodeDelay(work.end), EncodeDelay(work.start)));
    }
    const auto plan_vector = builder.CreateVector(plan);
    flatbuffers::Offset<stagewire::Prompt> prompt;
    if (task.prompt) {
      prompt = EncodePrompt(builder, *task.prompt, now);
    }
    const auto failed_engine = builder.CreateString(task.failed_engine.value());
    const auto body = stagewire::CreateSubmitTask(
        builder, message.id, request, pool, domain,
        static_cast<uint16_t>(task.stage),
        static_cast<uint16_t>(task.item_count), key, inputs,
        EncodeRelativeTime(task.due, now),
        EncodeRelativeTime(task.deadline, now), task.priority,
        task.result_bytes, task.moved_bytes, group, plan_vector, prompt,
        failed_engine);
    return MakeMessage(stagewire::Body::SubmitTask, body.Union());
  }
  flatbuffers::Offset<stagewire::Message> operator()(
      const CancelTaskMessage& message) {
    return MakeMessage(
        stagewire::Body::CancelTask,
        stagewire::CreateCancelTask(builder, message.id).Union());
  }
  flatbuffers::Offset<stagewire::Message> operator()(
      const TaskAcceptedMessage& message) {
    std::vector<flatbuffers::Offset<flatbuffers::String>> domains;
    for (const FailureDomainId& domain : message.suspected_domains) {
      domains.push_back(builder.CreateString(domain.value()));
    }
    const auto vector = builder.CreateVector(domains);
    return MakeMessage(
        stagewire::Body::TaskAccepted,
        stagewire::CreateTaskAccepted(builder, message.id, vector).Union());
  }
  flatbuffers::Offset<stagewire::Message> operator()(
      const TaskEndedMessage& message) {
    const auto handles = EncodeHandles(builder, message.result.handles);
    const auto domain =
        builder.CreateString(message.result.maker_domain.value());
    const auto engine = builder.CreateString(message.result.engine.value());
    return MakeMessage(
        stagewire::Body::TaskEnded,
        stagewire::CreateTaskEnded(
            builder, message.id, static_cast<uint8_t>(message.result.outcome),
            handles, domain, EncodeDelay(message.result.retry_after), engine)
            .Union());
  }

  flatbuffers::Offset<stagewire::Message> operator()(const CrashNews& news) {
    const auto wire = EncodeCrashNews(builder, news, now);
    return stagewire::CreateMessage(
        builder, stagewire::Body::TaskAccepted,
        stagewire::CreateTaskAccepted(builder, 0).Union(), wire);
  }

  flatbuffers::Offset<stagewire::Message> operator()(
      const PermitRequest& request) {
    const auto endpoint = builder.CreateString(request.endpoint.id.value());
    const auto address = builder.CreateString(request.endpoint.address);
    return MakeMessage(
        stagewire::Body::PermitRequest,
        stagewire::CreatePermitRequest(
            builder, endpoint, address, request.endpoint.started_at_ms,
            EncodeLimit(request.limit),
            EncodeAge(request.limit_observed_at, now),
            static_cast<uint16_t>(request.count))
            .Union());
  }
  flatbuffers::Offset<stagewire::Message> operator()(const PermitGrant& grant) {
    const auto endpoint = builder.CreateString(grant.endpoint.id.value());
    const auto address = builder.CreateString(grant.endpoint.address);
    return MakeMessage(
        stagewire::Body::PermitGrant,
        stagewire::CreatePermitGrant(
            builder, endpoint, address, grant.endpoint.started_at_ms,
            EncodeLimit(grant.limit), EncodeAge(grant.limit_observed_at, now),
            static_cast<uint16_t>(grant.count), EncodeDelay(grant.retry_after))
            .Union());
  }

  flatbuffers::Offset<stagewire::Message> MakeMessage(
      stagewire::Body type,
      flatbuffers::Offset<void> body) {
    return stagewire::CreateMessage(builder, type, body);
  }
};

SubmitTaskMessage DecodeSubmit(const stagewire::SubmitTask& wire,
                               TimePoint now) {
  SubmitTaskMessage message;
  message.id = wire.task();
  message.task.request = RequestId(StringOrEmpty(wire.request()));
  message.task.pool = PoolId(StringOrEmpty(wire.pool()));
  message.task.preferred_domain =
      FailureDomainId(StringOrEmpty(wire.preferred_domain()));
  message.task.stage = wire.stage();
  message.task.item_count = wire.item_count();
  message.task.key = StringOrEmpty(wire.key());
  message.task.inputs = DecodeInputs(wire.inputs());
  message.task.due = now + std::chrono::milliseconds(wire.due_in_ms());
  message.task.deadline =
      now + std::chrono::milliseconds(wire.deadline_in_ms());
  message.task.priority = wire.priority();
  message.task.result_bytes = wire.result_bytes();
  message.task.moved_bytes = wire.moved_bytes();
  message.task.group = PoolId(StringOrEmpty(wire.group()));
  if (wire.plan() != nullptr) {
    for (const stagewire::PlannedWork* const work : *wire.plan()) {
      message.task.plan.push_back({.pool = PoolId(StringOrEmpty(work->pool())),
                                   .items = work->items(),
                                   .result_bytes = work->result_bytes(),
                                   .start = DecodeDelay(work->start_ms()),
                                   .end = DecodeDelay(work->end_ms())});
    }
  }
  message.task.failed_engine = EndpointId(StringOrEmpty(wire.failed_engine()));
  if (wire.prompt() != nullptr) {
    message.task.prompt = DecodePrompt(*wire.prompt(), now);
  }
  return message;
}

TaskAcceptedMessage DecodeAccepted(const stagewire::TaskAccepted& wire) {
  TaskAcceptedMessage message = {.id = wire.task()};
  if (wire.suspected_domains() != nullptr) {
    for (const flatbuffers::String* const domain : *wire.suspected_domains()) {
      message.suspected_domains.emplace_back(StringOrEmpty(domain));
    }
  }
  return message;
}

TaskEndedMessage DecodeEnded(const stagewire::TaskEnded& wire) {
  TaskEndedMessage message;
  message.id = wire.task();
  const auto outcome = static_cast<StageItemOutcome>(wire.outcome());
  // An outcome that only a newer version knows is decoded as a failure.
  message.result.outcome = outcome > StageItemOutcome::kQuarantined
                               ? StageItemOutcome::kFailed
                               : outcome;
  if (auto handles = DecodeResults(wire.handles())) {
    message.result.handles = *std::move(handles);
  } else {
    message.result.outcome = StageItemOutcome::kFailed;
  }
  message.result.maker_domain =
      FailureDomainId(StringOrEmpty(wire.maker_domain()));
  message.result.retry_after = DecodeDelay(wire.retry_after_ms());
  message.result.engine = EndpointId(StringOrEmpty(wire.engine()));
  return message;
}

}  // namespace

std::string EncodeStageMessage(const StageMessage& message, TimePoint now) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(std::visit(MessageEncoder{builder, now}, message));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

Result<StageMessage> DecodeStageMessage(std::string_view bytes, TimePoint now) {
  const auto malformed = tl::unexpected(make_error_code(Error::kMalformed));
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()),
                                 bytes.size());
  if (!stagewire::VerifyMessageBuffer(verifier)) {
    return malformed;
  }
  const stagewire::Message* const message = stagewire::GetMessage(bytes.data());
  // The verifier accepts a message that has a body type but no body.
  if (message->body() == nullptr) {
    return malformed;
  }
  if (message->prompt_news() != nullptr) {
    return DecodeCrashNews(*message->prompt_news(), now);
  }
  switch (message->body_type()) {
    case stagewire::Body::SubmitTask:
      return DecodeSubmit(*message->body_as_SubmitTask(), now);
    case stagewire::Body::CancelTask:
      return CancelTaskMessage{message->body_as_CancelTask()->task()};
    case stagewire::Body::TaskAccepted:
      return DecodeAccepted(*message->body_as_TaskAccepted());
    case stagewire::Body::TaskEnded:
      return DecodeEnded(*message->body_as_TaskEnded());
    case stagewire::Body::PermitRequest:
      return DecodePermitRequest(*message->body_as_PermitRequest(), now);
    case stagewire::Body::PermitGrant:
      return DecodePermitGrant(*message->body_as_PermitGrant(), now);
    default:
      return malformed;
  }
}

constexpr double kMaxCores = 1024;

std::string EncodeNodeRecord(const NodeRecord& record) {
  flatbuffers::FlatBufferBuilder builder;
  const auto address = builder.CreateString(record.peer_address);
  const auto domain = builder.CreateString(record.failure_domain.value());
  const auto replica_address = builder.CreateString(record.replica_address);
  builder.Finish(stagewire::CreateNodeRecord(
      builder, address, domain, static_cast<float>(record.processor_share),
      replica_address));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

Result<NodeRecord> DecodeNodeRecord(std::string_view bytes) {
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()),
                                 bytes.size());
  if (!verifier.VerifyBuffer<stagewire::NodeRecord>(nullptr)) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  const auto* const wire =
      flatbuffers::GetRoot<stagewire::NodeRecord>(bytes.data());
  NodeRecord record;
  record.peer_address = StringOrEmpty(wire->peer_address());
  record.failure_domain =
      FailureDomainId(StringOrEmpty(wire->failure_domain()));
  record.processor_share = wire->processor_share();
  record.replica_address = StringOrEmpty(wire->replica_address());
  // Also true for a value that is not a number.
  const bool is_share_invalid =
      !(record.processor_share >= 0 && record.processor_share <= kMaxCores);
  if (record.peer_address.empty() || is_share_invalid) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  return record;
}

}  // namespace peridotmill
