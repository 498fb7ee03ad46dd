// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// JSON schemas of larkrackd's settings and of all resource kinds.

#include "base/schema_p.h"

#include <map>

namespace larkrack
{
namespace
{
const char* const k_settings = R"JSON({
"type": "object", "additionalProperties": false,
"required": ["name", "region", "domain", "listen", "platform", "secret", "operator_token"],
"properties": {
	"name": {"type": "string", "minLength": 1, "description": "Name of this entry VM, as in the entry_vm resource."},
	"region": {"type": "string", "minLength": 1, "description": "Region of this entry VM."},
	"domain": {"type": "string", "minLength": 1, "description": "Failure domain of this entry VM."},
	"listen": {
		"type": "object", "additionalProperties": false,
		"required": ["callers", "relay", "peers", "operators"],
		"description": "Addresses (IP:port) that this process listens on.",
		"properties": {
			"callers": {"type": "string", "pattern": "^[0-9a-fA-F.:\\[\\]]+:[0-9]+$", "description": "For callers, HTTP."},
			"relay": {"type": "string", "pattern": "^[0-9a-fA-F.:\\[\\]]+:[0-9]+$", "description": "For requests from other entry VMs, HTTP."},
			"peers": {"type": "string", "pattern": "^[0-9a-fA-F.:\\[\\]]+:[0-9]+$", "description": "For control messages from other entry VMs, websocket."},
			"operators": {"type": "string", "pattern": "^[0-9a-fA-F.:\\[\\]]+:[0-9]+$", "description": "For operators and /metrics, HTTP."}
		}
	},
	"platform": {"type": "string", "pattern": "^[0-9a-fA-F.:\\[\\]]+:[0-9]+$", "description": "Address of the platform's key-value service."},
	"seeds": {"type": "array", "items": {"type": "string"}, "description": "Peer addresses to ask when the platform is down."},
	"secret": {"type": "string", "minLength": 16, "description": "Shared by all entry VMs; signs grants, relays and the peers' handshake."},
	"operator_token": {"type": "string", "minLength": 8, "description": "Bearer token that guards changes."},
	"traffic_threads": {"type": "integer", "minimum": 1, "maximum": 64, "description": "Threads that carry requests. Default 1."},
	"chooser": {"type": "string", "enum": ["own_count", "round_robin", "least_connections", "two_random"], "description": "How a backend server is chosen. Default own_count."},
	"read_ahead": {"type": "boolean", "description": "Whether answers are read ahead of slow callers. Default true."},
	"trust_caller_header": {"type": "boolean", "description": "Whether Larkrack-Caller names the caller's address. Default false."},
	"log_file": {"type": "string", "description": "Log file; empty or missing: standard output."},
	"trace_file": {"type": "string", "description": "File for spans, OTLP/JSON, one export a line."},
	"trace_http": {"type": "string", "description": "IP:port of an OTLP/HTTP collector."},
	"trace_share": {"type": "number", "minimum": 0, "maximum": 1, "description": "Share of requests without a traceparent that are traced. Default 0."},
	"test_faults": {"type": "boolean", "description": "Whether links to peers may be cut over the operators' listener. For tests. Default false."}
}})JSON";

const char* const k_resources = R"JSON({
"region": {
	"type": "object", "additionalProperties": false,
	"properties": {
		"max_share": {"type": "number", "minimum": 0.05, "maximum": 1, "description": "Share of the slots of its backend servers that may be used."},
		"drain": {"type": "boolean"}
	}},
"domain": {
	"type": "object", "additionalProperties": false, "required": ["region"],
	"properties": {"region": {"type": "string"}, "drain": {"type": "boolean"}}},
"site": {
	"type": "object", "additionalProperties": false, "required": ["domain"],
	"properties": {"domain": {"type": "string"}}},
"entry_vm": {
	"type": "object", "additionalProperties": false, "required": ["domain", "callers", "relay", "peers"],
	"properties": {
		"domain": {"type": "string"}, "callers": {"type": "string"}, "relay": {"type": "string"},
		"peers": {"type": "string"}, "drain": {"type": "boolean"}}},
"service": {
	"type": "object", "additionalProperties": false,
	"properties": {
		"run_limit_ms": {"type": "integer", "minimum": 50, "maximum": 600000, "description": "Longest time a request may occupy a slot."},
		"deadline_ms": {"type": "integer", "minimum": 50, "maximum": 600000, "description": "Deadline of a request that names none."},
		"owners": {"type": "integer", "minimum": 1, "maximum": 64, "description": "Entry VMs of one failure domain among which its backend servers are divided."}
	}},
"backend_server": {
	"type": "object", "additionalProperties": false, "required": ["service", "domain", "address", "slots"],
	"properties": {
		"service": {"type": "string"}, "domain": {"type": "string"}, "address": {"type": "string"},
		"slots": {"type": "integer", "minimum": 1, "maximum": 1000},
		"connections": {"type": "integer", "minimum": 1, "maximum": 100000},
		"drain": {"type": "boolean"}}},
"steering": {
	"type": "object", "additionalProperties": false, "required": ["shares"],
	"properties": {
		"shares": {"type": "object", "additionalProperties": {"type": "number", "minimum": 0, "maximum": 1}, "description": "Region to share of the service's traffic; the sum is 1."},
		"demand": {"type": "object", "additionalProperties": {"type": "number", "minimum": 0, "maximum": 1}, "description": "Region to share of callers that live nearest to it."},
		"cap": {"type": "number", "minimum": 0.001, "maximum": 1, "description": "Share that a region may gain in one window."},
		"window_s": {"type": "number", "minimum": 0.5, "maximum": 86400}
	}},
"client_blocks": {
	"type": "object", "additionalProperties": false, "required": ["blocks"],
	"properties": {"blocks": {"type": "object", "additionalProperties": {"type": "string"}, "description": "CIDR block to site."}}}
})JSON";
} // namespace

const nlohmann::json& schema_settings()
{
	static const nlohmann::json s_schema = nlohmann::json::parse(k_settings);
	return s_schema;
}

const nlohmann::json* schema_resource(const std::string& _kind)
{
	static const nlohmann::json s_schemas = nlohmann::json::parse(k_resources);
	const auto it = s_schemas.find(_kind);
	return s_schemas.end() == it ? nullptr : &*it;
}

std::vector<std::string> resource_kinds()
{
	return {"region", "domain", "site", "entry_vm", "service", "backend_server", "steering", "client_blocks"};
}
} // namespace larkrack
