#include "node_driver.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include "measurement.h"

namespace peridotmill::capacity {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kFramePrefix = 4;
constexpr int kTeamsOfPeer = 40;
constexpr int kHintsPerSecond = 5;
constexpr Duration kTokenInterval = milliseconds(8);

constexpr std::array<const char*, std::variant_size_v<NodeEvent>> kEventNames =
    {"caller_request",    "action_query",
     "caller_gone",       "attempt_fragment",
     "attempt_finished",  "store_answered",
     "host_list_read",    "load_read",
     "cache_events_read", "peer_frame",
     "peer_connected",    "peer_disconnected",
     "order_finished",    "tick",
     "shutdown_requested"};

}  // namespace

NodeDriver::NodeDriver(const DriverSettings& settings, MemoryStore& store)
    : settings_(settings), store_(store), hosts_(MakeHostList(settings.size)) {
  Create();
  Feed(HostListRead{hosts_});
  // The start window, the dialling of the peers and the first reads.
  RunSeconds(15);
  if (!IsReady(*state_)) {
    const DistributionStatus status = StatusOf(state_->fleet.distribution);
    std::fprintf(stderr,
                 "the node did not become ready: revision %ld, pending %ld, "
                 "%zu parts missing, rejected %lu\n",
                 status.revision.value(), status.pending.value(),
                 state_->fleet.distribution.pending
                     ? state_->fleet.distribution.pending->missing.size()
                     : 0,
                 status.rejected);
    std::exit(1);
  }
}

void NodeDriver::Create() {
  for (int node = 0; node < settings_.size.nodes;
       node += settings_.size.domains) {
    NodeSettings settings;
    settings.id = NodeName(node);
    settings.failure_domain = DomainName(0);
    settings.peer_address = hosts_.nodes[node].peer_address;
    settings.incarnation = Incarnation(1'790'000'000'000'000);
    settings.seed = 3;
    settings.started_at = now_;
    settings.wall_started_at = WallTime(seconds(1'790'000'000));
    NodeState probe = *MakeNode(settings);
    Step(probe, HostListRead{hosts_}, now_);
    if (IsRelay(probe.fleet.members) == settings_.is_relay) {
      state_ = std::make_unique<NodeState>(*MakeNode(settings));
      return;
    }
  }
  std::fprintf(stderr, "no node has the wanted role\n");
  std::exit(1);
}

bool NodeDriver::is_relay() const {
  return IsRelay(state_->fleet.members);
}

void NodeDriver::Feed(const NodeEvent& event) {
  const int64_t start = ThreadNanoseconds();
  std::vector<NodeCommand> commands = Step(*state_, event, now_);
  const int64_t elapsed = ThreadNanoseconds() - start;
  EventWork& work = work_[event.index()];
  ++work.count;
  work.nanoseconds += elapsed;
  nanoseconds_ += elapsed;
  for (NodeCommand& command : commands) {
    Handle(command);
  }
}

void NodeDriver::Handle(NodeCommand& command) {
  if (auto* frame = std::get_if<SendPeerFrame>(&command)) {
    ++frames_sent_;
    bytes_sent_ += frame->payload.size() + kFramePrefix;
    AnswerFrame(*frame);
  } else if (auto* connect = std::get_if<ConnectPeer>(&command)) {
    connected_.insert(connect->peer);
    later_.emplace(now_ + milliseconds(1), PeerConnected{connect->peer});
  } else if (auto* close = std::get_if<ClosePeer>(&command)) {
    connected_.erase(close->peer);
  } else if (auto* call = std::get_if<StoreCall>(&command)) {
    if (std::holds_alternative<StoreWatch>(call->request)) {
      StoreAnswer nothing;
      nothing.status = StoreStatus::kUnavailable;
      later_.emplace(now_ + call->timeout, StoreAnswered{call->call, nothing});
    } else {
      later_.emplace(now_ + milliseconds(2),
                     StoreAnswered{call->call, store_.Execute(call->request)});
    }
  } else if (auto* start = std::get_if<StartAttempt>(&command)) {
    AnswerAttempt(*start);
  } else if (auto* read = std::get_if<ReadLoad>(&command)) {
    EndpointLoad load;
    load.running = random_.Unit() < settings_.busy
                       ? static_cast<int32_t>(random_.Below(8))
                       : 4;
    load.memory_use = load.running / 8.0;
    load.loaded_models = {"model-0@1"};
    later_.emplace(now_ + milliseconds(2), LoadRead{read->endpoint, load});
    if (read->with_cache_events) {
      CacheEventsRead events{read->endpoint, {}};
      events.events.push_back(
          {read->cache_events_since + 1, random_.Next(), false});
      later_.emplace(now_ + milliseconds(2), events);
    }
  } else if (std::holds_alternative<CallerAnswer>(command)) {
    ++answered_;
  } else if (auto* refusal = std::get_if<CallerRefusal>(&command)) {
    if (refused_++ == 0) {
      std::fprintf(stderr, "first refusal: %s\n", refusal->message.c_str());
    }
  }
}

// Homes grant all claims; a digest finds nothing to repair.
void NodeDriver::AnswerFrame(const SendPeerFrame& frame) {
  const auto messages = DecodePeerFrame(frame.payload);
  std::vector<PeerMessage> replies;
  for (const PeerMessage& message : *messages) {
    if (const auto* claim = std::get_if<ClaimRequest>(&message)) {
      ClaimReply reply;
      reply.nonce = claim->nonce;
      reply.status = ClaimStatus::kGranted;
      replies.emplace_back(reply);
    } else if (const auto* outcome = std::get_if<OutcomeRecord>(&message)) {
      replies.emplace_back(OutcomeAck{outcome->nonce});
    }
  }
  if (!replies.empty()) {
    const std::string payload = EncodePeerFrame(replies);
    ++frames_received_;
    bytes_received_ += payload.size() + kFramePrefix;
    later_.emplace(now_ + milliseconds(5), PeerFrame{frame.peer, payload});
  }
}

void NodeDriver::AnswerAttempt(const StartAttempt& start) {
  AttemptFinished finished;
  finished.attempt = start.attempt;
  finished.echoed_attempt = start.attempt.value();
  finished.outcome = AttemptOutcome::kCompleted;
  finished.prompt_tokens = TokenCount(200);
  Duration end = milliseconds(20);
  if (start.is_stream) {
    for (int i = 0; i < settings_.tokens_per_stream; ++i) {
      later_.emplace(now_ + kTokenInterval * (i + 1),
                     AttemptFragment{start.attempt, start.attempt.value(),
                                     static_cast<uint64_t>(i), "token "});
    }
    tokens_ += settings_.tokens_per_stream;
    finished.output_tokens = TokenCount(settings_.tokens_per_stream);
    end = kTokenInterval * (settings_.tokens_per_stream + 1);
  } else {
    finished.body =
        R"({"result":{"records":[")" + std::string(500, 'r') + R"("]}})";
  }
  later_.emplace(now_ + end, finished);
}

void NodeDriver::SendFrame(const NodeId& peer,
                           const std::vector<PeerMessage>& messages) {
  const std::string payload = EncodePeerFrame(messages);
  ++frames_received_;
  bytes_received_ += payload.size() + kFramePrefix;
  later_.emplace(now_ + microseconds(random_.Below(900'000)),
                 PeerFrame{peer, payload});
}

// What each connected peer sends in a second: section 5.8 of the design.
void NodeDriver::SendPeerFrames() {
  ++second_;
  const FailureDomainId& domain = state_->settings.failure_domain;
  const int pools = settings_.size.models + 5;
  std::vector<const EndpointRecord*> own;
  for (const EndpointRecord& record : hosts_.endpoints) {
    if (record.failure_domain == domain) {
      own.push_back(&record);
    }
  }
  const size_t mates = ConnectedDomainPeers(state_->fleet.members).size();
  size_t next = 0;
  for (const NodeId& peer : connected_) {
    const auto entry = state_->fleet.members.entries.find(peer);
    if (entry == state_->fleet.members.entries.end()) {
      continue;
    }
    HeartbeatMessage heartbeat;
    heartbeat.incarnation = Incarnation(1'790'000'000'000'000);
    heartbeat.revision = state_->config.revision;
    heartbeat.counter = second_;
    heartbeat.report_sequence = second_;
    if (entry->second.member.failure_domain != domain) {
      if (second_ % kRemoteHeartbeatEvery == 0) {
        DomainSummaryMessage summary;
        for (int pool = 0; pool < pools && settings_.is_relay; ++pool) {
          if (random_.Unit() < settings_.busy &&
              summary.pools.size() < kMaxOwnPerMessage) {
            summary.pools.push_back(
                {DomainPoolFingerprint(
                     entry->second.member.failure_domain,
                     PoolId("engines-" + std::to_string(pool))),
                 56, static_cast<uint8_t>(random_.Below(12)), 7});
          }
        }
        SendFrame(peer, {heartbeat, summary});
      }
      continue;
    }
    EndpointReportsMessage report;
    report.reader_incarnation = heartbeat.incarnation;
    report.sequence = second_;
    // Each endpoint is reported by one of its two readers.
    for (size_t i = next++; i < own.size(); i += std::max<size_t>(mates, 1)) {
      if (random_.Unit() < settings_.busy) {
        EndpointValue value;
        value.endpoint = FingerprintOf(own[i]->id.value());
        value.running = static_cast<uint16_t>(random_.Below(32));
        report.values.push_back(value);
      }
    }
    CacheHintsMessage hints;
    for (int i = 0; i < kHintsPerSecond && !own.empty(); ++i) {
      hints.held.push_back(
          {ShortFingerprintOf(own[random_.Below(own.size())]->id.value()),
           static_cast<uint32_t>(random_.Next())});
    }
    std::vector<PeerMessage> messages = {heartbeat, report, hints};
    TeamUseMessage use;
    for (int i = 0; i < std::min(kTeamsOfPeer, settings_.size.teams); ++i) {
      use.entries.push_back({FingerprintOf("team-" + std::to_string(i)),
                             QuantiseUse(random_.Unit() * 8)});
    }
    if (second_ % 5 == 0) {
      messages.emplace_back(use);
    }
    if ((second_ + next) % 10 == 0 && mates > 0 && random_.Below(mates) == 0) {
      DigestMessage digest;
      digest.members_hash = MembersHash(state_->fleet.members);
      for (const auto& [fingerprint, known] :
           state_->fleet.knowledge.endpoints) {
        digest.endpoints.push_back({fingerprint, 0, 1000});
      }
      messages.emplace_back(digest);
    }
    SendFrame(peer, messages);
  }
}

void NodeDriver::SendRequest() {
  const auto pipeline = requests_ % settings_.size.pipelines;
  const bool is_action =
      pipeline == static_cast<uint64_t>(settings_.size.pipelines - 1);
  CallerRequest request;
  request.id = NextRequestId(*state_);
  request.token = TeamToken(
      static_cast<int>(random_.Below(std::max(settings_.size.teams, 1))));
  request.pipeline = PipelineId("pipeline-" + std::to_string(pipeline));
  if (is_action) {
    request.key = IdempotencyKey("key-" + std::to_string(requests_));
    request.body = R"({"input":{"order":"x"}})";
  } else {
    request.form = CallerForm::kChat;
    request.body = R"({"model":"pipeline-)" + std::to_string(pipeline) +
                   R"(","stream":true,"messages":[{"role":"user","content":")" +
                   std::string(800, 'p') + std::to_string(requests_) +
                   R"("}]})";
  }
  ++requests_;
  Feed(request);
}

void NodeDriver::RunUntil(TimePoint end) {
  while (true) {
    TimePoint next = NextWakeup(*state_);
    if (!later_.empty() && later_.begin()->first <= next) {
      if (later_.begin()->first > end) {
        break;
      }
      auto event = later_.extract(later_.begin());
      now_ = std::max(now_, event.key());
      Feed(event.mapped());
    } else {
      if (next > end) {
        break;
      }
      // The loop's timers have a resolution of 1 ms.
      now_ = std::max(now_ + milliseconds(1), next);
      Feed(Tick{});
    }
  }
  now_ = std::max(now_, end);
}

void NodeDriver::RunSeconds(int count) {
  double due = 0;
  for (int i = 0; i < count; ++i) {
    const TimePoint start = now_;
    SendPeerFrames();
    const int requests =
        IsReady(*state_)
            ? static_cast<int>(due += settings_.requests_per_second)
            : 0;
    due -= requests;
    for (int request = 0; request < requests; ++request) {
      RunUntil(start + seconds(1) * request / requests);
      SendRequest();
    }
    RunUntil(start + seconds(1));
  }
}

void NodeDriver::ResetWork() {
  work_ = {};
  nanoseconds_ = 0;
  bytes_sent_ = bytes_received_ = frames_sent_ = frames_received_ = 0;
  answered_ = refused_ = tokens_ = 0;
}

std::map<std::string, EventWork> NodeDriver::WorkByEvent() const {
  std::map<std::string, EventWork> by_event;
  for (size_t i = 0; i < work_.size(); ++i) {
    if (work_[i].count > 0) {
      by_event[kEventNames[i]] = work_[i];
    }
  }
  return by_event;
}

}  // namespace peridotmill::capacity
