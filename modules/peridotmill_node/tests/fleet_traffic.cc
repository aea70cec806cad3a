#include <gtest/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "peridotmill_node/tests/fake_fleet.h"

namespace peridotmill {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

ObjectSet FleetObjects(int concurrency) {
  ObjectSet objects;
  for (const char* name : {"encoders", "engines", "ledger"}) {
    objects.pools[PoolId(name)] = {PoolId(name), concurrency};
  }
  objects.model_versions[ModelVersionId("guide-1")] = {
      ModelVersionId("guide-1"), "guide", "1"};
  const auto add_stage = [&](const char* name, StageRole role,
                             const char* pool) -> Stage& {
    Stage& stage = objects.stages[StageId(name)];
    stage.name = StageId(name);
    stage.role = role;
    stage.pool = PoolId(pool);
    stage.service_time = {milliseconds(20), milliseconds(60)};
    return stage;
  };
  add_stage("encode", StageRole::kEncode, "encoders");
  add_stage("retrieve", StageRole::kRetrieve, "encoders");
  add_stage("rerank", StageRole::kRerank, "encoders");
  Stage& answer = add_stage("answer", StageRole::kGenerate, "engines");
  answer.model_version = ModelVersionId("guide-1");
  answer.max_output_tokens = 16;
  answer.service_time = {milliseconds(70), milliseconds(150)};
  add_stage("charge", StageRole::kService, "ledger").idempotent = false;
  objects.priorities[PriorityId("normal")] = {PriorityId("normal"), 1};
  const auto add_pipeline = [&](const char* name,
                                std::vector<PipelineStage> stages) {
    Pipeline& pipeline = objects.pipelines[PipelineId(name)];
    pipeline.name = PipelineId(name);
    pipeline.priority = PriorityId("normal");
    pipeline.stages = std::move(stages);
  };
  const StageId encode("encode");
  add_pipeline("chat", {{encode, {}}, {StageId("answer"), {encode}}});
  add_pipeline("pay", {{encode, {}}, {StageId("charge"), {encode}}});
  add_pipeline("fan",
               {{encode, {}},
                {StageId("retrieve"), {encode}},
                {StageId("rerank"), {encode}},
                {StageId("answer"), {StageId("retrieve"), StageId("rerank")}}});
  Team& team = objects.teams[TeamId("guides")];
  team.name = TeamId("guides");
  team.token_sha256 = Sha256Hex(kToken);
  return objects;
}

std::string GeneratedText(const std::string& prompt) {
  std::string text;
  for (int token = 0; token < kTokensOfAnswer; ++token) {
    text += prompt + ":" + std::to_string(token) + " ";
  }
  return text;
}

bool FakeFleet::Publish(const ObjectSet& objects) {
  PublicationRequest request;
  const auto head = store.entries().find(kHeadKey);
  if (head != store.entries().end()) {
    request.base = DecodeHead(head->second.value)->revision;
  }
  request.nonce = Nonce(random.HexToken());
  request.author = "test";
  Publication publication = StartPublication(request, objects, random.Next());
  while (const auto call = NextPublicationCall(publication, now())) {
    ApplyPublicationAnswer(publication, store.Execute(*call), now());
  }
  AnswerWatches();
  return publication.result &&
         publication.result->status == PublicationStatus::kPublished;
}

RequestId FakeFleet::Send(int node,
                          Kind kind,
                          const std::string& key,
                          const std::string& deadline) {
  CallerRequest request;
  request.id = NextRequestId(*nodes[node].state);
  request.token = kToken;
  request.deadline = deadline;
  request.key = IdempotencyKey(key);
  // One body for one key, so that a repeat asks for the same action.
  const std::string text =
      key.empty() ? request.id.value() + ";" : "action " + key + ";";
  if (kind == Kind::kChat) {
    request.form = CallerForm::kChat;
    request.body = json{{"model", "chat"},
                        {"stream", true},
                        {"messages", {{{"role", "user"}, {"content", text}}}}}
                       .dump();
  } else {
    request.pipeline = PipelineId(kind == Kind::kPay ? "pay" : "fan");
    request.body = json{{"input", text}}.dump();
  }
  requests[request.id] = {
      node, nodes[node].settings.incarnation, kind, key, text, "", now()};
  Step(node, request);
  return request.id;
}

void FakeFleet::RunWithTraffic(Duration duration, int requests_per_second) {
  const TimePoint end = now() + duration;
  while (now() < end) {
    const int node = static_cast<int>(random.Below(nodes.size()));
    if (!nodes[node].is_dead && nodes[node].exit_codes.empty()) {
      const auto kind = static_cast<Kind>(random.Below(3));
      const std::string key =
          kind == Kind::kPay ? "k" + std::to_string(requests.size()) : "";
      Send(node, kind, key);
      const int other = static_cast<int>(random.Below(nodes.size()));
      if (kind == Kind::kPay && random.Below(3) == 0 && !nodes[other].is_dead) {
        Run(milliseconds(random.Below(60)));
        Send(other, kind, key);
      }
    }
    const auto gap = std::chrono::microseconds(
        1 + random.Below(2'000'000 / requests_per_second));
    Run(std::min<Duration>(end - now(), gap));
  }
}

int FakeFleet::RunsOf(const RequestId& request, const PoolId& pool) const {
  return static_cast<int>(
      std::ranges::count_if(runs, [&](const peridotmill::Run& run) {
        return run.attempt.request == request && run.pool == pool;
      }));
}

int FakeFleet::Answered(TimePoint since) const {
  return static_cast<int>(std::ranges::count_if(requests, [&](const auto& e) {
    return e.second.at >= since && !e.second.endings.empty() &&
           e.second.endings.front().is_answer;
  }));
}

namespace {

void CheckAnswer(const SentRequest& request, const std::string& body) {
  const json answer = json::parse(body);
  if (request.kind == Kind::kChat) {
    EXPECT_EQ(request.streamed, GeneratedText(request.text))
        << "P1, P2: tokens once and in order";
  } else if (request.kind == Kind::kPay) {
    EXPECT_EQ(answer["results"]["charge"]["echo"], request.text)
        << "P1: an answer of another request";
  } else {
    EXPECT_EQ(answer["results"]["answer"]["text"], GeneratedText(request.text))
        << "P1: an answer of another request";
  }
}

}  // namespace

void FakeFleet::CheckPromises() const {
  for (const std::string& violation : violations) {
    ADD_FAILURE() << violation;
  }
  std::map<std::string, int> charges;
  std::map<RequestId, int> runs_of_request;
  for (const peridotmill::Run& run : runs) {
    ++runs_of_request[run.attempt.request];
    if (run.pool == PoolId("ledger")) {
      ++charges[run.text];
    }
  }
  for (const auto& [text, count] : charges) {
    EXPECT_EQ(count, 1) << "P4: " << text << " ran more than once";
  }
  for (const auto& [id, request] : requests) {
    SCOPED_TRACE(id.value() + " " + request.key);
    const FakeNode& node = nodes[request.node];
    const bool is_alive =
        !node.is_dead && node.settings.incarnation == request.incarnation;
    EXPECT_LE(request.endings.size(), 1u) << "P1: more than one ending";
    if (is_alive && !request.is_gone) {
      EXPECT_EQ(request.endings.size(), 1u) << "P2: no ending";
    }
    if (request.endings.empty()) {
      continue;
    }
    const Ending& ending = request.endings.front();
    if (ending.is_answer) {
      CheckAnswer(request, ending.body);
      if (request.kind == Kind::kPay) {
        EXPECT_EQ(charges[request.text], 1) << "P1: answered but not run";
      }
    } else if (ending.execution == Execution::kNotRun) {
      EXPECT_EQ(runs_of_request[id], 0) << "P3: refused as not_run but ran";
    } else {
      EXPECT_EQ(GeneratedText(request.text).rfind(request.streamed, 0), 0u)
          << "P1: tokens once and in order";
    }
  }
}

bool FakeFleet::IsServingAll() {
  std::vector<RequestId> sent;
  for (size_t node = 0; node < nodes.size(); ++node) {
    if (nodes[node].is_dead || !nodes[node].exit_codes.empty()) {
      continue;
    }
    for (const Kind kind : {Kind::kChat, Kind::kPay, Kind::kFan}) {
      const std::string key =
          kind == Kind::kPay ? "probe" + std::to_string(requests.size()) : "";
      sent.push_back(Send(static_cast<int>(node), kind, key));
    }
  }
  Run(seconds(5));
  bool is_served = true;
  for (const RequestId& id : sent) {
    const auto& endings = requests.at(id).endings;
    if (endings.empty() || !endings.front().is_answer) {
      is_served = false;
      ADD_FAILURE() << id.value() << " was not answered: "
                    << (endings.empty() ? "no ending"
                                        : ToString(endings.front().reason));
    }
  }
  return is_served;
}

}  // namespace peridotmill
