//===- entry_schema.h - JSON Schema of the entry settings -------*- C++ -*-===//
//
// An error report includes the schema of the invalid member as the remedy.
//
//===----------------------------------------------------------------------===//

#ifndef BERYLRAMP_SRC_SETTINGS_ENTRY_SCHEMA_H
#define BERYLRAMP_SRC_SETTINGS_ENTRY_SCHEMA_H

namespace berylramp::internal {

inline constexpr const char *EntrySchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["host", "place", "listen", "log", "host_list", "rater",
               "workspace_keys", "operator_keys", "session_keys", "peer_keys"],
  "properties": {
    "host": {"type": "string", "minLength": 1, "maxLength": 64},
    "place": {"type": "string", "minLength": 1, "maxLength": 64},
    "listen": {"type": "string", "pattern": "^[0-9a-fA-F.:]+:[0-9]+$"},
    "log": {"type": "string", "pattern": "^[0-9a-fA-F.:]+:[0-9]+$"},
    "host_list": {"type": "string", "pattern": "^[0-9a-fA-F.:]+:[0-9]+$"},
    "rater": {"type": "string", "pattern": "^[0-9a-fA-F.:]+:[0-9]+$"},
    "peers": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["host", "address"],
      "properties": {
        "host": {"type": "string", "minLength": 1},
        "address": {"type": "string", "pattern": "^[0-9a-fA-F.:]+:[0-9]+$"}}}},
    "workspace_keys": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["workspace", "key"],
      "properties": {
        "workspace": {"type": "string", "minLength": 1},
        "key": {"type": "string", "minLength": 8}}}},
    "operator_keys": {"type": "array", "minItems": 1,
      "items": {"type": "string", "minLength": 8}},
    "admin_keys": {"type": "array",
      "items": {"type": "string", "minLength": 8}},
    "session_keys": {"type": "array", "minItems": 1, "maxItems": 2,
      "items": {"type": "string", "minLength": 8}},
    "peer_keys": {"type": "array", "minItems": 1, "maxItems": 2,
      "items": {"type": "string", "minLength": 8}},
    "links": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["place"],
      "properties": {
        "place": {"type": "string", "minLength": 1},
        "one_way_ms": {"type": "number", "minimum": 0, "maximum": 10000},
        "paid": {"type": "boolean"}}}},
    "freshness_ms": {"type": "integer", "minimum": 100, "maximum": 60000},
    "detached_for_ms": {"type": "integer", "minimum": 1000, "maximum": 86400000},
    "heard_within_ms": {"type": "integer", "minimum": 500, "maximum": 60000},
    "forget_after_ms": {"type": "integer", "minimum": 10000},
    "entries_ttl_ms": {"type": "integer", "minimum": 100, "maximum": 600000},
    "gossip_ms": {"type": "integer", "minimum": 50, "maximum": 10000},
    "load_ms": {"type": "integer", "minimum": 50, "maximum": 10000},
    "log_wait_ms": {"type": "integer", "minimum": 10, "maximum": 2000},
    "log_retention_ms": {"type": "integer", "minimum": 1000},
    "bill_ms": {"type": "integer", "minimum": 1, "maximum": 10000},
    "claim_window_ms": {"type": "integer", "minimum": 1000},
    "claim_shards": {"type": "integer", "minimum": 1, "maximum": 64},
    "max_body_bytes": {"type": "integer", "minimum": 1024},
    "max_connections": {"type": "integer", "minimum": 8, "maximum": 65536},
    "memory_mb": {"type": "integer", "minimum": 64, "maximum": 1048576},
    "bill_buffer": {"type": "integer", "minimum": 1},
    "plan_policy": {"enum": ["largest", "round-robin", "least-loaded",
                             "static-cheapest", "direct", "cascade", "lean"]},
    "replica_policy": {"enum": ["round-robin", "least-loaded", "two-choices",
                                "affinity"]},
    "verbose": {"type": "boolean"}
  }
})json";

} // namespace berylramp::internal

#endif // BERYLRAMP_SRC_SETTINGS_ENTRY_SCHEMA_H
