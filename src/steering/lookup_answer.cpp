// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/lookup_answer_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Addresses in one answer; the platform's callers take no more. Fewer: callers of one answer crowd on few
/// nodes.
constexpr std::size_t k_named_addresses = 64;

/// Leaves as many nodes as an answer takes, drawn by the node that answers: each draws others, and the same
/// ones as long as they are live.
void draw(std::vector<const node_heartbeat*>& _nodes, const std::string& _own)
{
	if (_nodes.size() <= k_named_addresses)
	{
		return;
	}
	const std::uint64_t seed = rendezvous_weight(_own, 0);
	const auto by_weight = [seed](const node_heartbeat* _left, const node_heartbeat* _right)
	{
		return rendezvous_weight(_left->node.text, seed) > rendezvous_weight(_right->node.text, seed);
	};
	std::sort(_nodes.begin(), _nodes.end(), by_weight);
	_nodes.resize(k_named_addresses);
}

/// @returns Addresses of nodes of a region; of all regions when it is empty.
std::vector<std::string> addresses_in(const region_name& _region,
    const std::vector<const node_heartbeat*>& _ready, const live_test& _is_live, const std::string& _own)
{
	std::vector<const node_heartbeat*> named;
	for (const node_heartbeat* node : _ready)
	{
		const bool wanted = _region.empty() || node->region == _region;
		if (wanted && _is_live(*node))
		{
			named.push_back(node);
		}
	}
	draw(named, _own);
	std::vector<std::string> addresses;
	addresses.reserve(named.size());
	for (const node_heartbeat* node : named)
	{
		addresses.push_back(node->callers);
	}
	return addresses;
}
} // namespace

lookup_decision plan_lookup(const region_name& _region, const std::vector<region_name>& _homes,
    const std::vector<const node_heartbeat*>& _ready, const live_test& _is_live, const std::string& _own)
{
	std::vector<std::string> addresses = addresses_in(_region, _ready, _is_live, _own);
	if (!addresses.empty())
	{
		return {lookup_reason::own_region, std::move(addresses)};
	}
	for (const region_name& home : _homes)
	{
		addresses = addresses_in(home, _ready, _is_live, _own);
		if (!addresses.empty())
		{
			return {lookup_reason::home_region, std::move(addresses)};
		}
	}
	addresses = addresses_in(region_name(), _ready, _is_live, _own);
	if (!addresses.empty())
	{
		return {lookup_reason::any_region, std::move(addresses)};
	}
	return {lookup_reason::none_ready, {_own}};
}
} // namespace larkrack
