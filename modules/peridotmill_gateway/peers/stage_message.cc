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

std::vector<ResultHandle> DecodeHandles(const StringVector* texts) {
  std::vector<ResultHandle> handles;
  if (texts != nullptr) {
    for (const flatbuffers::String* const text : *texts) {
      handles.emplace_back(StringOrEmpty(text));
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

flatbuffers::Offset<stagewire::Prompt> EncodePrompt(
    flatbuffers::FlatBufferBuilder& builder,
    const PromptDemand& prompt) {
  std::vector<uint64_t> hashes;
  std::vector<int64_t> tokens;
  for (const SharedPrefix& prefix : prompt.shared) {
    hashes.push_back(prefix.hash);
    tokens.push_back(prefix.tokens);
  }
  const auto pool = builder.CreateString(prompt.pool.value());
  const auto hash_vector = builder.CreateVector(hashes);
  const auto token_vector = builder.CreateVector(tokens);
  return stagewire::CreatePrompt(builder, pool, hash_vector, token_vector,
                                 prompt.tokens);
}

PromptDemand DecodePrompt(const stagewire::Prompt& wire) {
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
  return prompt;
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
      prompt = EncodePrompt(builder, *task.prompt);
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
  message.task.inputs = DecodeHandles(wire.inputs());
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
    message.task.prompt = DecodePrompt(*wire.prompt());
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
  message.result.outcome = outcome > StageItemOutcome::kRefused
                               ? StageItemOutcome::kFailed
                               : outcome;
  message.result.handles = DecodeHandles(wire.handles());
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
  switch (message->body_type()) {
    case stagewire::Body::SubmitTask:
      return DecodeSubmit(*message->body_as_SubmitTask(), now);
    case stagewire::Body::CancelTask:
      return CancelTaskMessage{message->body_as_CancelTask()->task()};
    case stagewire::Body::TaskAccepted:
      return DecodeAccepted(*message->body_as_TaskAccepted());
    case stagewire::Body::TaskEnded:
      return DecodeEnded(*message->body_as_TaskEnded());
    default:
      return malformed;
  }
}

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
  if (record.peer_address.empty()) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  return record;
}

}  // namespace peridotmill
