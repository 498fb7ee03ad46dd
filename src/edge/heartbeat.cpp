// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "heartbeat_p.h"

#include <nlohmann/json.hpp>

namespace larkrack
{
namespace
{
/// Layout of the datagram; another one is not understood.
constexpr int k_layout = 4;
constexpr std::size_t k_fields = 17;
/// Stands for an age that there is none of.
constexpr std::int64_t k_no_age = -1;
} // namespace

std::vector<std::uint8_t> encode(const edge_heartbeat& _heartbeat)
{
	nlohmann::json loads = nlohmann::json::array();
	for (const in_flight_count& count : _heartbeat.in_flight)
	{
		loads.push_back(count.id_hash);
		loads.push_back(count.in_flight);
	}
	const nlohmann::json document = {k_layout, _heartbeat.node, _heartbeat.incarnation, _heartbeat.sequence,
	    _heartbeat.domain, _heartbeat.region, _heartbeat.ip, _heartbeat.callers,
	    static_cast<int>(_heartbeat.state), _heartbeat.config_version, _heartbeat.store_revision,
	    nlohmann::json(_heartbeat.requests_per_s), nlohmann::json(_heartbeat.known_ips),
	    nlohmann::json(_heartbeat.sent_per_s), std::move(loads), _heartbeat.store_reached,
	    _heartbeat.store_answer_age_ms.value_or(k_no_age)};
	return nlohmann::json::to_cbor(document);
}

result<edge_heartbeat> decode_heartbeat(const std::uint8_t* _data, std::size_t _size)
{
	try
	{
		const nlohmann::json document = nlohmann::json::from_cbor(_data, _data + _size);
		if (!document.is_array() || k_fields != document.size() || k_layout != document.at(0).get<int>())
		{
			return error{"bad_heartbeat", "another layout"};
		}
		edge_heartbeat one;
		one.node = document.at(1).get<std::string>();
		one.incarnation = document.at(2).get<std::uint64_t>();
		one.sequence = document.at(3).get<std::uint64_t>();
		one.domain = document.at(4).get<std::string>();
		one.region = document.at(5).get<std::string>();
		one.ip = document.at(6).get<std::string>();
		one.callers = document.at(7).get<std::string>();
		one.state = static_cast<node_state>(document.at(8).get<int>());
		one.config_version = document.at(9).get<std::uint64_t>();
		one.store_revision = document.at(10).get<std::int64_t>();
		one.requests_per_s = document.at(11).get<std::map<std::string, double>>();
		one.known_ips = document.at(12).get<std::vector<std::string>>();
		one.sent_per_s = document.at(13).get<std::map<std::string, std::map<std::string, double>>>();
		one.store_reached = document.at(15).get<bool>();
		const auto age = document.at(16).get<std::int64_t>();
		if (age >= 0)
		{
			one.store_answer_age_ms = age;
		}
		const nlohmann::json& loads = document.at(14);
		for (std::size_t i = 0; i + 1 < loads.size(); i += 2)
		{
			one.in_flight.push_back({loads.at(i).get<std::uint32_t>(), loads.at(i + 1).get<int>()});
		}
		return one;
	}
	catch (const nlohmann::json::exception& exception)
	{
		return error{"bad_heartbeat", exception.what()};
	}
}
} // namespace larkrack
