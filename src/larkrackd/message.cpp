// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/message_p.h"

#include "base/cbor_p.h"

namespace larkrack
{
namespace
{
using nlohmann::json;

json load_to_json(const service_headroom& _load)
{
	return json::array({_load.usable, _load.running, _load.queued, _load.slots, _load.cold});
}

service_headroom load_from_json(const json& _json)
{
	service_headroom load;
	load.usable = _json.at(0);
	load.running = _json.at(1);
	load.queued = _json.at(2);
	load.slots = _json.at(3);
	load.cold = _json.at(4);
	return load;
}

json entry_to_json(const member_entry& _entry)
{
	json loads = json::object();
	for (const auto& [service, load] : _entry.loads)
	{
		loads[service] = load_to_json(load);
	}
	const int flags = (_entry.leaving ? 1 : 0) + (_entry.left ? 2 : 0);
	return json::array({_entry.vm, _entry.domain, _entry.life.value, _entry.sequence, _entry.rev.value,
	    _entry.records_digest, flags, loads, _entry.in_force});
}

member_entry entry_from_json(const json& _json)
{
	member_entry entry;
	entry.vm = _json.at(0);
	entry.domain = _json.at(1);
	entry.life.value = _json.at(2);
	entry.sequence = _json.at(3);
	entry.rev.value = _json.at(4);
	entry.records_digest = _json.at(5);
	const int flags = _json.at(6);
	entry.leaving = 0 != (flags & 1);
	entry.left = 0 != (flags & 2);
	for (const auto& [service, load] : _json.at(7).items())
	{
		entry.loads[service] = load_from_json(load);
	}
	entry.in_force = _json.at(8).get<std::map<std::string, std::vector<int>>>();
	return entry;
}

struct body_writer
{
	json operator()(const message_heartbeat& _body) const
	{
		json entries = json::array();
		for (const member_entry& entry : _body.entries)
		{
			entries.push_back(entry_to_json(entry));
		}
		return {{"t", "hb"}, {"e", entries}};
	}
	json operator()(const message_get_config& _body) const
	{
		return {{"t", "gc"}, {"have", _body.have.value}};
	}
	json operator()(const message_config& _body) const
	{
		json changed = json::object();
		for (const auto& [key, value] : _body.changed)
		{
			changed[key] = json::array({value.spec, value.rev.value, value.by});
		}
		return {{"t", "c"}, {"base", _body.base.value}, {"rev", _body.rev.value}, {"set", changed},
		    {"del", _body.removed}};
	}
	json operator()(const message_get_records& _body) const
	{
		return {{"t", "gr"}, {"have", _body.have}};
	}
	json operator()(const message_records& _body) const
	{
		json records = json::array();
		for (const record& one : _body.records)
		{
			records.push_back(json::array({one.key, one.value, one.sequence}));
		}
		return {{"t", "r"}, {"r", records}};
	}
};

message_config config_from_json(const json& _json)
{
	message_config body;
	body.base.value = _json.at("base");
	body.rev.value = _json.at("rev");
	for (const auto& [key, value] : _json.at("set").items())
	{
		body.changed[key] = {value.at(0), revision{value.at(1).get<std::uint64_t>()}, value.at(2)};
	}
	body.removed = _json.at("del").get<std::vector<std::string>>();
	return body;
}

message body_from_json(const json& _json)
{
	const std::string type = _json.at("t");
	if ("hb" == type)
	{
		message_heartbeat body;
		for (const json& entry : _json.at("e"))
		{
			body.entries.push_back(entry_from_json(entry));
		}
		return body;
	}
	if ("gc" == type)
	{
		return message_get_config{revision{_json.at("have").get<std::uint64_t>()}};
	}
	if ("c" == type)
	{
		return config_from_json(_json);
	}
	if ("gr" == type)
	{
		return message_get_records{_json.at("have").get<std::map<std::string, std::uint64_t>>()};
	}
	// Both sides speak the same protocol version, so the remaining type is "r"; any other one fails at its
	// missing fields.
	message_records body;
	for (const json& one : _json.at("r"))
	{
		body.records.push_back({one.at(0), one.at(1), one.at(2)});
	}
	return body;
}
} // namespace

std::vector<std::uint8_t> encode(const envelope& _envelope)
{
	json document = std::visit(body_writer(), _envelope.body);
	document["f"] = _envelope.from;
	return json::to_cbor(document);
}

result<envelope> decode(const std::string& _bytes)
{
	// The CBOR library throws on invalid input; here the exception becomes an error value.
	try
	{
		const json document = parse_cbor(_bytes.begin(), _bytes.end());
		return envelope{document.at("f"), body_from_json(document)};
	}
	catch (const json::exception& failure)
	{
		return error{"bad_message", failure.what()};
	}
}
} // namespace larkrack
