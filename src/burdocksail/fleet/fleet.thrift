// Messages between instances. Each struct of a message is named after its dataclass
// in burdocksail.fleet, board or core, and its fields after those of the dataclass;
// the codec maps them by name. Times and ages are in seconds.

struct Member {
  1: string name, 2: string incarnation, 3: string failure_domain,
  4: string host, 5: i32 port
}
struct LogPosition { 1: i64 term, 2: i64 sequence }
struct GroupView {
  1: string service_name, 2: string primary_id, 3: i64 change, 4: string state
}
struct SharedSample { 1: i32 view, 2: LogPosition position, 3: double age }
struct ServerSpeed {
  1: string upstream_id, 2: i64 started_at_ms, 3: double log_ratio, 4: double weight
}

struct AllowanceDemand {
  1: string workspace, 2: i32 wanted, 3: i32 urgent, 4: double rate,
  5: double idle, 6: optional i32 returned, 7: optional i64 returned_slot,
  8: optional i32 preferred
}
struct AllowanceDemands { 1: i64 number, 2: list<AllowanceDemand> demands }
struct Allowance { 1: string workspace, 2: i32 granted, 3: optional double wait }
struct Allowances {
  1: i64 number, 2: i64 slot, 3: list<Allowance> allowances
}

struct Renew {
  1: Member member, 2: double sent_at, 3: i64 epoch, 4: i64 generation,
  5: i64 catalog_version, 6: i64 directory_revision, 7: bool store_works,
  8: list<string> busy, 9: list<string> unreachable, 10: list<string> reached, 11: bool leaving,
  12: i64 store_timeline = 0, 13: optional double leader_time,
  14: optional double former_silence, 15: optional AllowanceDemands allowances,
  20: list<ServerSpeed> speeds = []
}
struct Grant {
  1: optional Member leader, 2: i64 epoch, 3: i64 generation, 4: double echo,
  5: bool extends_evidence, 6: optional list<GroupView> groups, 7: i32 alive,
  8: i64 catalog_version, 9: i64 directory_revision, 10: bool store_works,
  11: list<SharedSample> samples, 12: i32 registered, 13: bool monitor,
  14: i64 store_timeline = 0, 15: optional double leader_time,
  16: optional Allowances allowances, 17: optional Member source, 18: bool relays = false,
  20: list<ServerSpeed> speeds = []
}
struct NotLeader { 1: Member member, 2: i64 epoch, 3: optional Member leader }
struct LeaderQuery { 1: Member member, 2: i64 epoch }
struct LeaderReport { 1: Member member, 2: i64 epoch, 3: bool hears_leader }
struct TakeOver { 1: Member member, 2: i64 epoch }
struct Farewell { 1: Member member }

struct AllowanceRequest {
  1: Member member, 2: i64 epoch, 3: AllowanceDemands demands
}
struct AllowanceGrant {
  1: Member leader, 2: i64 epoch, 3: Allowances allowances
}
struct AllowanceHandover {
  1: Member leader, 2: i64 epoch, 3: list<Allowance> allowances
}

struct Envelope {
  1: optional Renew Renew, 2: optional Grant Grant,
  3: optional NotLeader NotLeader, 4: optional LeaderQuery LeaderQuery,
  5: optional LeaderReport LeaderReport, 6: optional TakeOver TakeOver,
  7: optional Farewell Farewell, 8: optional AllowanceRequest AllowanceRequest,
  9: optional AllowanceGrant AllowanceGrant,
  10: optional AllowanceHandover AllowanceHandover
}

// A snapshot of what an instance knows of the store, for one that cannot reach the
// store or lags behind.
struct SnapshotItem {
  1: string name, 2: i64 revision, 3: string spec, 4: i64 timeline = 0
}
struct Snapshot {
  1: optional SnapshotItem catalog, 2: list<SnapshotItem> upstreams,
  3: i64 directory_revision, 4: i64 timeline = 0
}
