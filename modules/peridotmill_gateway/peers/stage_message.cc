#include "peridotmill_gateway/peers/stage_message.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_gateway/peers/schema/stage_wire.h"

namespace peridotmill {
namespace {

using Texts = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;

std::string TextOf(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

std::vector<ResultHandle> HandlesOf(const Texts* texts) {
  std::vector<ResultHandle> handles;
  if (texts != nullptr) {
    for (const flatbuffers::String* const text : *texts) {
      handles.emplace_back(TextOf(text));
    }
  }
  return handles;
}

flatbuffers::Offset<Texts> AddHandles(
    flatbuffers::FlatBufferBuilder& builder,
    const std::vector<ResultHandle>& handles) {
  std::vector<flatbuffers::Offset<flatbuffers::String>> texts;
  texts.reserve(handles.size());
  for (const ResultHandle& handle : handles) {
    texts.push_back(builder.CreateString(handle.value()));
  }
  return builder.CreateVector(texts);
}

int32_t RelativeMilliseconds(TimePoint time, TimePoint now) {
  constexpr double kLimit = std::numeric_limits<int32_t>::max();
  return static_cast<int32_t>(
      std::clamp(std::round(ToMilliseconds(time - now)), -kLimit, kLimit));
}

uint32_t DelayMilliseconds(Duration delay) {
  return static_cast<uint32_t>(
      std::max(0, RelativeMilliseconds(TimePoint() + delay, TimePoint())));
}

Duration DelayOf(uint32_t milliseconds) {
  return std::chrono::milliseconds(milliseconds);
}

flatbuffers::Offset<stagewire::Prompt> AddPrompt(
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
  prompt.pool = PoolId(TextOf(wire.pool()));
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

// Fills in one message; the visitor of EncodeStageMessage.
struct Encoder {
  flatbuffers::FlatBufferBuilder& builder;
  TimePoint now;

  flatbuffers::Offset<stagewire::Message> operator()(
      const SubmitTaskMessage& message) {
    const StageTask& task = message.task;
    const auto request = builder.CreateString(task.request.value());
    const auto pool = builder.CreateString(task.pool.value());
    const auto domain = builder.CreateString(task.preferred_domain.value());
    const auto key = builder.CreateString(task.key);
    const auto inputs = AddHandles(builder, task.inputs);
    const auto group = builder.CreateString(task.group.value());
    std::vector<flatbuffers::Offset<stagewire::PlannedWork>> plan;
    for (const PlannedWork& work : task.plan) {
      plan.push_back(stagewire::CreatePlannedWork(
          builder, builder.CreateString(work.pool.value()),
          static_cast<uint16_t>(work.items), work.result_bytes,
          DelayMilliseconds(work.end)));
    }
    const auto plan_vector = builder.CreateVector(plan);
    flatbuffers::Offset<stagewire::Prompt> prompt;
    if (task.prompt) {
      prompt = AddPrompt(builder, *task.prompt);
    }
    const auto failed_engine = builder.CreateString(task.failed_engine.value());
    const auto body = stagewire::CreateSubmitTask(
        builder, message.id, request, pool, domain,
        static_cast<uint16_t>(task.stage),
        static_cast<uint16_t>(task.item_count), key, inputs,
        RelativeMilliseconds(task.due, now),
        RelativeMilliseconds(task.deadline, now), task.priority,
        task.result_bytes, task.moved_bytes, group, plan_vector,
        task.is_returning, prompt, failed_engine);
    return Wrap(stagewire::Body::SubmitTask, body.Union());
  }
  flatbuffers::Offset<stagewire::Message> operator()(
      const CancelTaskMessage& message) {
    return Wrap(stagewire::Body::CancelTask,
                stagewire::CreateCancelTask(builder, message.id).Union());
  }
  flatbuffers::Offset<stagewire::Message> operator()(
      const TaskAcceptedMessage& message) {
    std::vector<flatbuffers::Offset<flatbuffers::String>> domains;
    for (const FailureDomainId& domain : message.suspected_domains) {
      domains.push_back(builder.CreateString(domain.value()));
    }
    const auto vector = builder.CreateVector(domains);
    return Wrap(
        stagewire::Body::TaskAccepted,
        stagewire::CreateTaskAccepted(builder, message.id, vector).Union());
  }
  flatbuffers::Offset<stagewire::Message> operator()(
      const TaskEndedMessage& message) {
    const auto handles = AddHandles(builder, message.result.handles);
    const auto domain =
        builder.CreateString(message.result.maker_domain.value());
    const auto engine = builder.CreateString(message.result.engine.value());
    return Wrap(
        stagewire::Body::TaskEnded,
        stagewire::CreateTaskEnded(
            builder, message.id, static_cast<uint8_t>(message.result.outcome),
            handles, domain, DelayMilliseconds(message.result.retry_after),
            engine)
            .Union());
  }

  flatbuffers::Offset<stagewire::Message> Wrap(stagewire::Body type,
                                               flatbuffers::Offset<void> body) {
    return stagewire::CreateMessage(builder, type, body);
  }
};

SubmitTaskMessage DecodeSubmit(const stagewire::SubmitTask& wire,
                               TimePoint now) {
  SubmitTaskMessage message;
  message.id = wire.task();
  message.task.request = RequestId(TextOf(wire.request()));
  message.task.pool = PoolId(TextOf(wire.pool()));
  message.task.preferred_domain =
      FailureDomainId(TextOf(wire.preferred_domain()));
  message.task.stage = wire.stage();
  message.task.item_count = wire.item_count();
  message.task.key = TextOf(wire.key());
  message.task.inputs = HandlesOf(wire.inputs());
  message.task.due = now + std::chrono::milliseconds(wire.due_in_ms());
  message.task.deadline =
      now + std::chrono::milliseconds(wire.deadline_in_ms());
  message.task.priority = wire.priority();
  message.task.result_bytes = wire.result_bytes();
  message.task.moved_bytes = wire.moved_bytes();
  message.task.group = PoolId(TextOf(wire.group()));
  if (wire.plan() != nullptr) {
    for (const stagewire::PlannedWork* const work : *wire.plan()) {
      message.task.plan.push_back({.pool = PoolId(TextOf(work->pool())),
                                   .items = work->items(),
                                   .result_bytes = work->result_bytes(),
                                   .end = DelayOf(work->end_ms())});
    }
  }
  message.task.is_returning = wire.is_returning();
  message.task.failed_engine = EndpointId(TextOf(wire.failed_engine()));
  if (wire.prompt() != nullptr) {
    message.task.prompt = DecodePrompt(*wire.prompt());
  }
  return message;
}

TaskAcceptedMessage DecodeAccepted(const stagewire::TaskAccepted& wire) {
  TaskAcceptedMessage message = {.id = wire.task()};
  if (wire.suspected_domains() != nullptr) {
    for (const flatbuffers::String* const domain : *wire.suspected_domains()) {
      message.suspected_domains.emplace_back(TextOf(domain));
    }
  }
  return message;
}

TaskEndedMessage DecodeEnded(const stagewire::TaskEnded& wire) {
  TaskEndedMessage message;
  message.id = wire.task();
  const auto outcome = static_cast<StageItemOutcome>(wire.outcome());
  // A newer version's outcome reads as a failure.
  message.result.outcome = outcome > StageItemOutcome::kRefused
                               ? StageItemOutcome::kFailed
                               : outcome;
  message.result.handles = HandlesOf(wire.handles());
  message.result.maker_domain = FailureDomainId(TextOf(wire.maker_domain()));
  message.result.retry_after = DelayOf(wire.retry_after_ms());
  message.result.engine = EndpointId(TextOf(wire.engine()));
  return message;
}

}  // namespace

std::string EncodeStageMessage(const StageMessage& message, TimePoint now) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(std::visit(Encoder{builder, now}, message));
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
  // The verifier accepts a body's type without its body.
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
  record.peer_address = TextOf(wire->peer_address());
  record.failure_domain = FailureDomainId(TextOf(wire->failure_domain()));
  record.processor_share = wire->processor_share();
  record.replica_address = TextOf(wire->replica_address());
  if (record.peer_address.empty()) {
    return tl::unexpected(make_error_code(Error::kMalformed));
  }
  return record;
}

}  // namespace peridotmill
