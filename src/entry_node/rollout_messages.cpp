// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/rollout_messages_p.h"

#include "base/cbor_p.h"

#include <nlohmann/json.hpp>

namespace larkrack
{
namespace
{
/// First field, the layout of the message; other values are rejected.
constexpr int k_layout = 103;
/// Number of fields of the message.
constexpr std::size_t k_fields = 7;
/// First byte of a CBOR array of k_fields elements; no other datagram between nodes begins with it.
constexpr std::uint8_t k_first_byte = 0x80 + k_fields;
/// Maximum number of requests that is accepted for one side (the target version or the others) of
/// one route. It is far above what any node serves in a rollout, and low enough that no sum overflows.
constexpr std::uint64_t k_max_requests = 1U << 22U;
/// Number of fields of one route: name, target version, other versions.
constexpr std::size_t k_route_fields = 3;
/// Number of fields of one side: ended requests, failed requests, response times.
constexpr std::size_t k_side_fields = 3;

/// Response times are encoded as pairs of time class and count, for classes with any response.
nlohmann::json side_to_json(const version_counts& _side)
{
	nlohmann::json times = nlohmann::json::array();
	for (std::size_t i = 0; i < _side.times.size(); ++i)
	{
		if (0 != _side.times[i])
		{
			times.push_back(i);
			times.push_back(_side.times[i]);
		}
	}
	return {_side.ended, _side.failed, std::move(times)};
}

bool is_count(const nlohmann::json& _field)
{
	return _field.is_number_unsigned() && _field.get<std::uint64_t>() <= k_max_requests;
}

bool read_side(const nlohmann::json& _field, version_counts& _side)
{
	const bool valid = _field.is_array() && k_side_fields == _field.size() && is_count(_field[0]) &&
	                   is_count(_field[1]) && _field[2].is_array() && 0 == _field[2].size() % 2;
	if (!valid)
	{
		return false;
	}
	_side.ended = _field[0];
	_side.failed = _field[1];
	const nlohmann::json& times = _field[2];
	for (std::size_t i = 0; i < times.size(); i += 2)
	{
		if (!is_count(times[i]) || !is_count(times[i + 1]) || times[i].get<std::size_t>() >= k_time_classes)
		{
			return false;
		}
		_side.times[times[i].get<std::size_t>()] = times[i + 1];
	}
	return _side.failed <= _side.ended && _side.timed() <= _side.ended;
}

bool read_route(const nlohmann::json& _field, rollout_evidence& _evidence)
{
	const bool valid = _field.is_array() && k_route_fields == _field.size() && _field[0].is_string();
	if (!valid || _evidence.size() > k_max_separate_routes)
	{
		return false;
	}
	route_evidence& evidence = _evidence[_field[0].get<std::string>()];
	return read_side(_field[1], evidence.target) && read_side(_field[2], evidence.others);
}
} // namespace

std::vector<std::uint8_t> encode(const rollout_report& _report)
{
	nlohmann::json routes = nlohmann::json::array();
	for (const auto& [route, evidence] : _report.evidence)
	{
		routes.push_back({route, side_to_json(evidence.target), side_to_json(evidence.others)});
	}
	const nlohmann::json document = {k_layout, _report.service.text, _report.order_revision, _report.sender,
	    _report.incarnation, _report.passed.count(), std::move(routes)};
	return nlohmann::json::to_cbor(document);
}

bool is_rollout_report(const std::uint8_t* _data, std::size_t _size)
{
	return _size > k_fields && k_first_byte == _data[0];
}

result<rollout_report> decode_rollout_report(const std::uint8_t* _data, std::size_t _size)
{
	const nlohmann::json document = parse_cbor(_data, _data + _size);
	const bool valid = document.is_array() && k_fields == document.size() && k_layout == document[0] &&
	                   document[1].is_string() && document[2].is_number_integer() &&
	                   document[3].is_number_unsigned() && document[4].is_number_unsigned() &&
	                   document[5].is_number_unsigned() && document[6].is_array();
	if (!valid)
	{
		return error{"bad_report", "not a roll-out report"};
	}
	rollout_report report;
	report.service = service_name(document[1]);
	report.order_revision = document[2];
	report.sender = document[3];
	report.incarnation = document[4];
	report.passed = std::chrono::milliseconds(document[5].get<std::int64_t>());
	for (const nlohmann::json& route : document[6])
	{
		if (!read_route(route, report.evidence))
		{
			return error{"bad_report", "counts exceed what a node can observe"};
		}
	}
	return report;
}
} // namespace larkrack
