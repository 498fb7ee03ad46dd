// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/lookup_answer_p.h"

namespace larkrack
{
namespace
{
/// Addresses in one answer. More: larger answers. Fewer: in a large region callers of one answer crowd on the
/// first nodes by name. Not measured; no region of the measured sites has so many nodes.
constexpr std::size_t k_named_addresses = 64;

/// @returns Addresses of nodes of a region; of all regions when it is empty.
std::vector<std::string> addresses_in(
    const region_name& _region, const std::vector<const node_heartbeat*>& _ready, const live_test& _is_live)
{
	std::vector<std::string> addresses;
	for (const node_heartbeat* node : _ready)
	{
		const bool wanted = _region.empty() || node->region == _region;
		if (wanted && _is_live(*node) && addresses.size() < k_named_addresses)
		{
			addresses.push_back(node->callers);
		}
	}
	return addresses;
}
} // namespace

lookup_decision plan_lookup(const region_name& _region, const std::vector<region_name>& _homes,
    const std::vector<const node_heartbeat*>& _ready, const live_test& _is_live, const std::string& _own)
{
	std::vector<std::string> addresses = addresses_in(_region, _ready, _is_live);
	if (!addresses.empty())
	{
		return {lookup_reason::own_region, std::move(addresses)};
	}
	for (const region_name& home : _homes)
	{
		addresses = addresses_in(home, _ready, _is_live);
		if (!addresses.empty())
		{
			return {lookup_reason::home_region, std::move(addresses)};
		}
	}
	addresses = addresses_in(region_name(), _ready, _is_live);
	if (!addresses.empty())
	{
		return {lookup_reason::any_region, std::move(addresses)};
	}
	return {lookup_reason::none_ready, {_own}};
}
} // namespace larkrack
