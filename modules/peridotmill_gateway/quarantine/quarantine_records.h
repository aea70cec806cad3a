#ifndef PERIDOTMILL_GATEWAY_QUARANTINE_QUARANTINE_RECORDS_H_
#define PERIDOTMILL_GATEWAY_QUARANTINE_QUARANTINE_RECORDS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/quarantine/quarantine_store.h"
#include "peridotmill_gateway/store/store_channel.h"
#include "peridotmill_gateway/store/store_retry_queue.h"

namespace peridotmill {

// Prefix of the store keys of quarantines; the suspect's id follows.
inline constexpr char kQuarantineKeyPrefix[] = "peridotmill/quarantines/";

// Keeps one record for each quarantined suspect in the platform's store. All
// writes are conditional, so that the probes of all nodes are counted once
// each. Records are bound to a lease that is not renewed, so that those which
// nobody needs any more expire.
class QuarantineRecords final : public QuarantineStore {
 public:
  struct Dependencies {
    const Clock& clock;
    StoreChannel& store;
    StoreRetryQueue& retry_queue;
    EventSink& events;
  };
  using RecordCallback = std::function<void(SuspectId id, int probes)>;

  explicit QuarantineRecords(const Dependencies& dependencies);
  ~QuarantineRecords() override;

  // Reads all records and passes them to `callback`; tries again until the
  // store has responded.
  void Load(RecordCallback callback);

  // QuarantineStore
  void Write(SuspectId id, int probes) override;
  void TakeProbe(SuspectId id,
                 int probes,
                 std::function<void(ProbeGrant)> callback) override;
  void Remove(SuspectId id) override;

 private:
  // What this node knows of a record.
  struct Record {
    // 0 if the key does not exist.
    int64_t revision = 0;
    int probes = 0;
  };
  // One write in flight. `callback` is empty if it counts no probe.
  struct PendingWrite {
    SuspectId id;
    // Number of probes that the record is to have.
    int probes = 0;
    int attempts = 0;
    std::function<void(ProbeGrant)> callback;
    std::unique_ptr<StoreCallHandle> call;
    TimePoint started_at;
  };

  void ReadPage(const std::string& after_key);
  void Start(SuspectId id,
             int probes,
             std::function<void(ProbeGrant)> callback);
  // Gets a lease for the write if the current one has become old.
  void Prepare(uint64_t write);
  void Send(uint64_t write);
  void OnWritten(uint64_t write, const StoreWrite& result);
  // Tries a write again later that counts no probe. The answer to one that
  // counts a probe is due now, so it fails.
  void Fail(uint64_t write);
  void Finish(uint64_t write, ProbeGrant grant);

  Dependencies dependencies_;
  RecordCallback on_record_;
  std::unique_ptr<StoreCallHandle> read_;
  std::map<SuspectId, Record> records_;
  std::map<uint64_t, PendingWrite> writes_;
  std::map<SuspectId, std::unique_ptr<StoreCallHandle>> removals_;
  uint64_t next_write_ = 1;
  int64_t lease_ = 0;
  TimePoint lease_granted_at_;
  // Expires when this object is destroyed, for queued retries.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

// Returns the value of a record, and the number of probes in one; 0 if the
// value is malformed.
std::string EncodeQuarantineRecord(int probes);
int DecodeQuarantineRecord(const std::string& value);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_QUARANTINE_QUARANTINE_RECORDS_H_
