// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/lookup_answer_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Maximum number of addresses in a lookup response; the platform's callers use no more. Lower values
/// concentrate the callers of one response on few nodes.
constexpr std::size_t k_max_lookup_addresses = 64;

/// Reduces the list to the maximum size of a response, by rendezvous hashing seeded with the responding
/// node's address: each responding node selects different nodes, and the same ones as long as they are live.
void select_subset(std::vector<const node_heartbeat*>& _nodes, const std::string& _own)
{
	if (_nodes.size() <= k_max_lookup_addresses)
	{
		return;
	}
	const std::uint64_t seed = rendezvous_weight(_own, 0);
	const auto by_weight = [seed](const node_heartbeat* _left, const node_heartbeat* _right)
	{
		return rendezvous_weight(_left->node.text, seed) > rendezvous_weight(_right->node.text, seed);
	};
	std::sort(_nodes.begin(), _nodes.end(), by_weight);
	_nodes.resize(k_max_lookup_addresses);
}

/// @returns Addresses of live nodes of a region; of all regions if _region is empty.
std::vector<std::string> live_addresses(const region_name& _region,
    const std::vector<const node_heartbeat*>& _ready, const live_predicate& _is_live, const std::string& _own)
{
	std::vector<const node_heartbeat*> selected;
	for (const node_heartbeat* node : _ready)
	{
		const bool region_matches = _region.empty() || node->region == _region;
		if (region_matches && _is_live(*node))
		{
			selected.push_back(node);
		}
	}
	select_subset(selected, _own);
	std::vector<std::string> addresses;
	addresses.reserve(selected.size());
	for (const node_heartbeat* node : selected)
	{
		addresses.push_back(node->callers);
	}
	return addresses;
}
} // namespace

lookup_decision plan_lookup(const region_name& _region, const std::vector<region_name>& _homes,
    const std::vector<const node_heartbeat*>& _ready, const live_predicate& _is_live, const std::string& _own)
{
	std::vector<std::string> addresses = live_addresses(_region, _ready, _is_live, _own);
	if (!addresses.empty())
	{
		return {lookup_reason::own_region, std::move(addresses)};
	}
	for (const region_name& home : _homes)
	{
		addresses = live_addresses(home, _ready, _is_live, _own);
		if (!addresses.empty())
		{
			return {lookup_reason::home_region, std::move(addresses)};
		}
	}
	addresses = live_addresses(region_name(), _ready, _is_live, _own);
	if (!addresses.empty())
	{
		return {lookup_reason::any_region, std::move(addresses)};
	}
	return {lookup_reason::none_ready, {_own}};
}
} // namespace larkrack
