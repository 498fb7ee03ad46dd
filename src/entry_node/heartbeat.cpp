// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/heartbeat_p.h"

#include "base/cbor_p.h"

#include <nlohmann/json.hpp>

namespace larkrack
{
namespace
{
/// First field, the layout of the datagram; other values are rejected.
constexpr int k_layout = 5;
/// Number of fields of the datagram, including the layout.
constexpr std::size_t k_fields = 18;
/// Number of values of node_state. A state and an age are packed into one integer.
constexpr int k_node_states = 3;
/// Unit of the ages of reported nodes; a smaller unit makes longer numbers.
constexpr std::chrono::milliseconds k_age_unit{50};
/// Encodes a missing age.
constexpr std::int64_t k_no_age = -1;

/// @returns Rates by service or by region as a JSON object.
template <typename Tag>
nlohmann::json rates_to_json(const std::map<text_id<Tag>, double>& _rates)
{
	nlohmann::json object = nlohmann::json::object();
	for (const auto& [id, per_s] : _rates)
	{
		object[id.text] = per_s;
	}
	return object;
}

template <typename Tag>
std::map<text_id<Tag>, double> rates_of_json(const nlohmann::json& _object)
{
	std::map<text_id<Tag>, double> rates;
	for (const auto& [id, per_s] : _object.get<std::map<std::string, double>>())
	{
		rates.emplace(id, per_s);
	}
	return rates;
}

nlohmann::json sent_to_json(const rate_by_service_and_region& _sent)
{
	nlohmann::json object = nlohmann::json::object();
	for (const auto& [service, rates] : _sent)
	{
		object[service.text] = rates_to_json(rates);
	}
	return object;
}

rate_by_service_and_region sent_of_json(const nlohmann::json& _object)
{
	rate_by_service_and_region sent;
	for (const auto& [service, rates] : _object.get<std::map<std::string, nlohmann::json>>())
	{
		sent.emplace(service, rates_of_json<region_name_tag>(rates));
	}
	return sent;
}

nlohmann::json in_flight_to_json(const in_flight_counts& _counts)
{
	nlohmann::json list = nlohmann::json::array();
	for (const in_flight_count& count : _counts)
	{
		list.push_back(count.id_hash);
		list.push_back(count.in_flight);
	}
	return list;
}

in_flight_counts in_flight_of_json(const nlohmann::json& _list)
{
	in_flight_counts counts;
	for (std::size_t i = 0; i + 1 < _list.size(); i += 2)
	{
		counts.push_back({_list.at(i).get<std::uint32_t>(), _list.at(i + 1).get<int>()});
	}
	return counts;
}

/// @returns Two numbers for each node: the hash of its name, and its age and state packed into one.
nlohmann::json neighbours_to_json(const std::vector<neighbour_status>& _neighbours)
{
	nlohmann::json list = nlohmann::json::array();
	for (const neighbour_status& neighbour : _neighbours)
	{
		list.push_back(neighbour.name_hash);
		list.push_back(neighbour.age / k_age_unit * k_node_states + static_cast<int>(neighbour.state));
	}
	return list;
}

std::vector<neighbour_status> neighbours_of_json(const nlohmann::json& _list)
{
	std::vector<neighbour_status> neighbours;
	for (std::size_t i = 0; i + 1 < _list.size(); i += 2)
	{
		const auto packed = _list.at(i + 1).get<std::uint32_t>();
		neighbours.push_back({_list.at(i).get<std::uint32_t>(),
		    static_cast<node_state>(packed % k_node_states), packed / k_node_states * k_age_unit});
	}
	return neighbours;
}

node_heartbeat heartbeat_of_json(const nlohmann::json& _document)
{
	node_heartbeat heartbeat;
	heartbeat.node = node_name(_document.at(1).get<std::string>());
	heartbeat.incarnation = _document.at(2).get<std::uint64_t>();
	heartbeat.sequence = _document.at(3).get<std::uint64_t>();
	heartbeat.domain = domain_name(_document.at(4).get<std::string>());
	heartbeat.region = region_name(_document.at(5).get<std::string>());
	heartbeat.ip = _document.at(6).get<std::string>();
	heartbeat.callers = _document.at(7).get<std::string>();
	heartbeat.state = static_cast<node_state>(_document.at(8).get<int>());
	heartbeat.config_version = _document.at(9).get<std::uint64_t>();
	heartbeat.store_revision = _document.at(10).get<std::int64_t>();
	heartbeat.requests_per_s = rates_of_json<service_name_tag>(_document.at(11));
	heartbeat.known_ips = _document.at(12).get<std::vector<std::string>>();
	heartbeat.sent_per_s = sent_of_json(_document.at(13));
	heartbeat.in_flight = in_flight_of_json(_document.at(14));
	heartbeat.store_reached = _document.at(15).get<bool>();
	const auto age = _document.at(16).get<std::int64_t>();
	if (age >= 0)
	{
		heartbeat.store_answer_age = std::chrono::milliseconds(age);
	}
	heartbeat.neighbours = neighbours_of_json(_document.at(17));
	return heartbeat;
}

/// @returns Whether a node may receive or send this many requests a second.
bool is_plausible_rate(double _per_s)
{
	/// Requests a second, far above what any node serves. A higher rate would move the keys of a whole region
	/// for as long as its peak is remembered.
	constexpr double k_max_per_s = 1e6;
	return _per_s >= 0.0 && _per_s <= k_max_per_s;
}

bool has_plausible_rates(const node_heartbeat& _heartbeat)
{
	for (const auto& [service, per_s] : _heartbeat.requests_per_s)
	{
		if (!is_plausible_rate(per_s))
		{
			return false;
		}
	}
	for (const auto& [service, rates] : _heartbeat.sent_per_s)
	{
		for (const auto& [region, per_s] : rates)
		{
			if (!is_plausible_rate(per_s))
			{
				return false;
			}
		}
	}
	return true;
}
} // namespace

std::vector<std::uint8_t> encode(const node_heartbeat& _heartbeat)
{
	const std::int64_t age = _heartbeat.store_answer_age ? _heartbeat.store_answer_age->count() : k_no_age;
	const nlohmann::json document = {k_layout, _heartbeat.node.text, _heartbeat.incarnation,
	    _heartbeat.sequence, _heartbeat.domain.text, _heartbeat.region.text, _heartbeat.ip,
	    _heartbeat.callers, static_cast<int>(_heartbeat.state), _heartbeat.config_version,
	    _heartbeat.store_revision, rates_to_json(_heartbeat.requests_per_s),
	    nlohmann::json(_heartbeat.known_ips), sent_to_json(_heartbeat.sent_per_s),
	    in_flight_to_json(_heartbeat.in_flight), _heartbeat.store_reached, age,
	    neighbours_to_json(_heartbeat.neighbours)};
	return nlohmann::json::to_cbor(document);
}

result<node_heartbeat> decode_heartbeat(const std::uint8_t* _data, std::size_t _size)
{
	try
	{
		const nlohmann::json document = parse_cbor(_data, _data + _size);
		if (!document.is_array() || k_fields != document.size() || k_layout != document.at(0).get<int>())
		{
			return error{"bad_heartbeat", "unsupported layout"};
		}
		node_heartbeat heartbeat = heartbeat_of_json(document);
		const auto state = document.at(8).get<std::int64_t>();
		if (state < 0 || state >= k_node_states)
		{
			return error{"bad_heartbeat", "invalid node state"};
		}
		if (!has_plausible_rates(heartbeat))
		{
			return error{"bad_heartbeat", "a rate is out of range"};
		}
		return heartbeat;
	}
	catch (const nlohmann::json::exception& exception)
	{
		return error{"bad_heartbeat", exception.what()};
	}
}
} // namespace larkrack
