// Messages between instances. Field names equal those of the dataclasses in
// burdocksail.core and burdocksail.node; the codec maps them by name. Durations
// are in microseconds; enumerations are encoded as strings.

struct Instance {
  1: string name, 2: string incarnation, 3: string failure_domain,
  4: string host, 5: i32 port
}
struct LogPosition { 1: i64 term, 2: i64 sequence }
struct Ballot { 1: i64 epoch, 2: i64 handover }

struct Request {
  1: string request_id, 2: string session_id, 3: string account,
  4: string database, 5: string group, 6: string sql, 7: string kind,
  8: string freshness, 9: optional i64 max_age, 10: optional LogPosition floor,
  11: bool has_token, 12: string request_key, 13: i64 time_left,
  14: bool repeatable, 15: optional string work_class, 16: string transaction_id,
  17: string service_name
}
struct Column { 1: string name, 2: i32 type_code }
// A NULL is an empty string in `values`; its index is listed in `nulls`.
struct Row { 1: list<binary> values, 2: optional list<i32> nulls }
struct ResultSet {
  1: list<Column> columns, 2: list<Row> rows, 3: i64 affected_rows,
  4: i64 last_insert_id
}
struct Answer {
  1: string outcome, 2: ResultSet result, 3: string error, 4: i32 error_code,
  5: string message, 6: optional LogPosition position, 7: string server,
  8: bool repeated, 9: optional i64 age
}

struct ForwardRequest { 1: Request request }
struct ForwardAnswer { 1: string request_id, 2: Answer answer }
struct NotLeader {
  1: string request_id, 2: string group, 3: optional Instance leader
}
struct SessionClosed { 1: string group, 2: string transaction_id }

struct LeaseItem { 1: string group, 2: Ballot ballot }
struct LeaseRefusal { 1: string group, 2: Ballot asked, 3: Ballot bound }
struct RenewLeases { 1: i64 sequence, 2: list<LeaseItem> leases }
struct LeasesAnswered {
  1: i64 sequence, 2: list<LeaseItem> granted, 3: list<LeaseRefusal> refused
}
struct ReleaseLeases { 1: list<LeaseItem> leases }
struct AskLease { 1: string group }
struct LeaseReport {
  1: string group, 2: Ballot bound, 3: optional Instance holder
}
struct HandOver {
  1: string group, 2: Ballot ballot, 3: string status, 4: i64 status_version
}
struct HandOverAccepted { 1: string group, 2: Ballot ballot }

struct ProbeServer { 1: string group, 2: string server }
struct ServerProbed { 1: string group, 2: string server, 3: bool reachable }

struct Rumour {
  1: Instance subject, 2: string state, 3: i64 version, 4: string witness,
  5: string witness_domain
}
struct Ping { 1: i64 sequence, 2: Instance sender, 3: list<Rumour> rumours }
struct Pong { 1: i64 sequence, 2: Instance sender, 3: list<Rumour> rumours }

struct AcceptedItem {
  1: string path, 2: i64 generation, 3: i64 revision, 4: string content
}
struct PullConfiguration { 1: i64 after_revision }
struct ConfigurationChanges {
  1: list<AcceptedItem> items, 2: i64 revision, 3: bool complete
}

// A message on the wire; exactly one field is set.
struct Envelope {
  1: optional ForwardRequest ForwardRequest,
  2: optional ForwardAnswer ForwardAnswer,
  3: optional NotLeader NotLeader,
  4: optional SessionClosed SessionClosed,
  5: optional RenewLeases RenewLeases,
  6: optional LeasesAnswered LeasesAnswered,
  7: optional ReleaseLeases ReleaseLeases,
  8: optional AskLease AskLease,
  9: optional LeaseReport LeaseReport,
  10: optional HandOver HandOver,
  11: optional HandOverAccepted HandOverAccepted,
  12: optional ProbeServer ProbeServer,
  13: optional ServerProbed ServerProbed,
  14: optional Ping Ping,
  15: optional Pong Pong,
  16: optional PullConfiguration PullConfiguration,
  17: optional ConfigurationChanges ConfigurationChanges
}

// Payload of the first frame in each direction of a connection.
struct Hello { 1: Instance sender, 2: binary nonce, 3: i32 protocol_version }
