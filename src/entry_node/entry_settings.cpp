// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/entry_settings_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
const char* const k_schema = R"JSON({
"type": "object",
"required": ["name", "region", "domain", "ip", "listen", "store", "regions", "inner_ports", "bounds"],
"properties": {
	"name": {"type": "string", "minLength": 1, "description": "Name of this entry VM."},
	"region": {"type": "string", "minLength": 1, "description": "Region of this entry VM."},
	"domain": {"type": "string", "minLength": 1, "description": "Failure domain of this entry VM."},
	"ip": {"type": "string", "minLength": 1, "description": "Address of this entry VM."},
	"listen": {
		"type": "object", "required": ["callers"],
		"description": "Addresses (IP:port) that this process listens on; an empty text: not served.",
		"properties": {
			"callers": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "For requests of callers, HTTP."},
			"readiness": {"type": "string", "pattern": "^([0-9.]+:[0-9]+)?$", "description": "Tells whether the node takes requests, HTTP."},
			"lookups": {"type": "string", "pattern": "^([0-9.]+:[0-9]+)?$", "description": "For look-ups of callers, HTTP."},
			"peers": {"type": "string", "pattern": "^([0-9.]+:[0-9]+)?$", "description": "For other nodes that miss changes of the store's keys, HTTP."},
			"metrics": {"type": "string", "pattern": "^([0-9.]+:[0-9]+)?$", "description": "For scrapes of metrics, HTTP."}
		}
	},
	"inner_ports": {"type": "array", "minItems": 2, "maxItems": 2, "items": {"type": "integer", "minimum": 1, "maximum": 65535},
		"description": "First and last port for what nodes say to each other; the first is for heartbeats (UDP)."},
	"store": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$", "description": "Address of the platform's store."},
	"seeds": {"type": "array", "items": {"type": "string"}, "description": "Addresses of other nodes' peers listeners; may be stale."},
	"regions": {"type": "object", "additionalProperties": {"type": "string"}, "description": "Region of each failure domain."},
	"max_descriptors": {"type": "integer", "minimum": 64, "description": "File descriptors that this process may hold."},
	"bounds": {
		"type": "object",
		"required": ["retry_ratio", "retry_slack", "retry_window_s", "max_shift", "lookup_ttl_max_s", "grace_s"],
		"description": "Bounds that hold over all nodes.",
		"properties": {
			"retry_ratio": {"type": "number", "minimum": 0, "maximum": 1, "description": "Repeats for each request, in any window."},
			"retry_slack": {"type": "number", "minimum": 0, "description": "Further repeats in any window."},
			"retry_window_s": {"type": "number", "exclusiveMinimum": 0, "description": "Length of that window, seconds."},
			"max_shift": {"type": "number", "minimum": 0, "maximum": 1, "description": "Part of a region's requests that may change their region from one 2 s window to the next."},
			"lookup_ttl_max_s": {"type": "number", "exclusiveMinimum": 0, "description": "Longest life of an answer to a look-up, seconds."},
			"grace_s": {"type": "number", "exclusiveMinimum": 0, "description": "Seconds between SIGTERM and SIGKILL."},
			"quota_window_s": {"type": "number", "exclusiveMinimum": 0, "description": "Length of the window in which a customer's quota is judged, seconds."},
			"quota_overage": {"type": "number", "minimum": 0, "description": "Part of its quota that a customer may have above it, in any window."},
			"quota_slack": {"type": "number", "minimum": 0, "description": "Further requests of a customer in any window."},
			"config_apply_ms": {"type": "integer", "minimum": 100, "description": "Milliseconds from the store's acknowledgement of a configuration to its use at each node; 2500 by default."},
			"drain_ms": {"type": "integer", "minimum": 100, "description": "Milliseconds from the store's acknowledgement that a backend server leaves to the last request that reaches it; 2500 by default."},
			"expose_share": {"type": "number", "minimum": 0, "maximum": 1, "description": "Part of a service's requests that a version which is rolled out may get before it is judged."}
		}
	},
	"overload": {
		"type": "object",
		"description": "Behaviour under overload.",
		"properties": {
			"admission": {"type": "string", "enum": ["arrival", "priority"], "description": "Which requests get a slot first: by route priority and arrival at this node, or by urgency over all nodes; arrival by default."},
			"backend_choice": {"type": "string", "enum": ["count", "reported", "completion"], "description": "How a backend server is chosen: `count` by numbers of requests, `completion` by expected completion, `reported` (if absent) by completion for services whose load headers carry a work time."},
			"memory_mb": {"type": "integer", "minimum": 64, "description": "Memory of this process, MB; all that is held for connections takes 0.65 of it at most (requests, responses, buffers). Without it there is no bound."},
			"max_response_mb": {"type": "integer", "minimum": 1, "description": "Maximum size of the body of one response of a backend server, MB; 64 by default. A response beyond it counts as lost. Those that state no length take 0.26 of `memory_mb` at most."}
		}
	}
}})JSON";

/// Time to live of a lookup response in seconds, unless the settings demand less. Higher: more requests
/// still go to a node that has stopped. Lower: more lookups.
constexpr double k_lookup_ttl_s = 1.5;
/// Value of the setting "overload/admission" for admission by urgency over all nodes.
constexpr const char* k_admission_priority = "priority";
/// Default length of the quota window, in seconds.
constexpr double k_quota_window_s = 5.0;
/// A key of the schema is suggested for an unknown key when their edit distance is below this.
constexpr std::size_t k_max_key_distance = 4;

/// Reads an address. A text that matches the schema's pattern may still be invalid, as in "1.2.3.4.5:80".
/// @returns Nothing when the text is missing, empty or invalid; an invalid text is added to _mistakes.
std::optional<endpoint> endpoint_at(
    const nlohmann::json& _document, const std::string& _path, std::vector<mistake>& _mistakes)
{
	const std::string text = _document.value(nlohmann::json::json_pointer(_path), std::string());
	if (text.empty())
	{
		return std::nullopt;
	}
	result<endpoint> parsed = parse_endpoint(text);
	if (const endpoint* value = value_of(parsed))
	{
		return *value;
	}
	_mistakes.push_back({_path, value_at(_document, _path), "IP:port, as in 10.0.0.1:8000"});
	return std::nullopt;
}

void check_ip(const nlohmann::json& _document, std::vector<mistake>& _mistakes)
{
	beast::error_code failed;
	asio::ip::make_address(_document["ip"].get<std::string>(), failed);
	if (failed)
	{
		_mistakes.push_back({"/ip", value_at(_document, "/ip"), "IP address, as in 10.0.0.1"});
	}
}

/// @returns Levenshtein distance: insertions, deletions and replacements that turn one word into the other.
std::size_t edit_distance(const std::string& _left, const std::string& _right)
{
	std::vector<std::size_t> row(_right.size() + 1);
	for (std::size_t i = 0; i < row.size(); ++i)
	{
		row[i] = i;
	}
	for (std::size_t i = 1; i <= _left.size(); ++i)
	{
		std::size_t diagonal = row[0];
		row[0] = i;
		for (std::size_t j = 1; j <= _right.size(); ++j)
		{
			const std::size_t replaced = diagonal + (_left[i - 1] == _right[j - 1] ? 0 : 1);
			diagonal = row[j];
			row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
		}
	}
	return row.back();
}

std::string nearest_key(const std::string& _key, const nlohmann::json& _known)
{
	std::string nearest;
	std::size_t best = k_max_key_distance;
	for (const auto& [name, schema] : _known.items())
	{
		const std::size_t distance = edit_distance(_key, name);
		if (distance < best)
		{
			best = distance;
			nearest = name;
		}
	}
	return nearest;
}

void collect_unknown(const nlohmann::json& _document, const nlohmann::json& _schema, const std::string& _path,
    std::vector<unknown_key>& _unknown)
{
	if (!_document.is_object() || !_schema.contains("properties"))
	{
		return;
	}
	const nlohmann::json& known = _schema["properties"];
	for (const auto& [key, value] : _document.items())
	{
		const std::string path = _path + "/" + key;
		if (!known.contains(key))
		{
			_unknown.push_back({path, nearest_key(key, known)});
			continue;
		}
		collect_unknown(value, known[key], path, _unknown);
	}
}

std::chrono::milliseconds to_milliseconds(double _seconds)
{
	return std::chrono::milliseconds(static_cast<std::int64_t>(_seconds * 1000.0));
}

quota_bounds quotas_of(const nlohmann::json& _bounds)
{
	quota_bounds quotas;
	quotas.window = to_milliseconds(_bounds.value("quota_window_s", k_quota_window_s));
	quotas.overage = _bounds.value("quota_overage", quotas.overage);
	quotas.slack = _bounds.value("quota_slack", quotas.slack);
	return quotas;
}

change_bounds changes_of(const nlohmann::json& _bounds)
{
	change_bounds changes;
	changes.config = std::chrono::milliseconds(_bounds.value("config_apply_ms", changes.config.count()));
	changes.drain = std::chrono::milliseconds(_bounds.value("drain_ms", changes.drain.count()));
	return changes;
}

overload_settings overload_of(const nlohmann::json& _overload)
{
	overload_settings overload;
	if (k_admission_priority == _overload.value("admission", ""))
	{
		overload.admission = admission_kind::priority;
	}
	overload.max_response_mb = _overload.value("max_response_mb", overload.max_response_mb);
	if (_overload.contains("memory_mb"))
	{
		overload.memory_mb = _overload["memory_mb"].get<int>();
	}
	return overload;
}

backend_choice_setting backend_choice_of(const nlohmann::json& _document)
{
	const nlohmann::json::json_pointer path("/overload/backend_choice");
	const std::string text = _document.value(path, std::string("reported"));
	if ("count" == text)
	{
		return backend_choice_setting::count;
	}
	return "completion" == text ? backend_choice_setting::completion : backend_choice_setting::reported;
}
} // namespace

const nlohmann::json& schema_entry_settings()
{
	static const nlohmann::json s_schema = nlohmann::json::parse(k_schema);
	return s_schema;
}

std::vector<unknown_key> unknown_keys(const nlohmann::json& _document)
{
	std::vector<unknown_key> unknown;
	collect_unknown(_document, schema_entry_settings(), "", unknown);
	return unknown;
}

std::variant<entry_settings, std::vector<mistake>> parse_entry_settings(const nlohmann::json& _document)
{
	std::vector<mistake> mistakes = check_schema(schema_entry_settings(), _document);
	if (!mistakes.empty())
	{
		return mistakes;
	}
	entry_settings settings;
	settings.place = {_document["name"], _document["domain"], _document["region"]};
	settings.ip = _document["ip"];
	check_ip(_document, mistakes);
	settings.callers = endpoint_at(_document, "/listen/callers", mistakes).value_or(endpoint());
	settings.readiness = endpoint_at(_document, "/listen/readiness", mistakes);
	settings.lookups = endpoint_at(_document, "/listen/lookups", mistakes);
	settings.peers = endpoint_at(_document, "/listen/peers", mistakes);
	settings.metrics = endpoint_at(_document, "/listen/metrics", mistakes);
	settings.heartbeat_port = _document["inner_ports"][0];
	settings.store = endpoint_at(_document, "/store", mistakes).value_or(endpoint());
	settings.seeds = _document.value("seeds", std::vector<std::string>());
	settings.region_of = _document["regions"].get<std::unordered_map<std::string, std::string>>();
	settings.max_descriptors = _document.value("max_descriptors", settings.max_descriptors);
	const nlohmann::json& bounds = _document["bounds"];
	settings.bounds.retries = {
	    bounds["retry_ratio"], bounds["retry_slack"], to_milliseconds(bounds["retry_window_s"])};
	settings.bounds.max_shift = bounds["max_shift"];
	settings.changes = changes_of(bounds);
	settings.quotas = quotas_of(bounds);
	settings.overload = overload_of(_document.value("overload", nlohmann::json::object()));
	settings.backend_choice = backend_choice_of(_document);
	settings.expose_share = bounds.value("expose_share", settings.expose_share);
	settings.lookup_ttl = to_milliseconds(std::min(k_lookup_ttl_s, bounds["lookup_ttl_max_s"].get<double>()));
	settings.grace = to_milliseconds(bounds["grace_s"]);
	if (!mistakes.empty())
	{
		return mistakes;
	}
	return settings;
}
} // namespace larkrack
