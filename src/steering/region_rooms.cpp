// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/region_rooms_p.h"

#include <algorithm>

namespace larkrack
{
std::map<region_name, region_room> region_rooms(const std::vector<backend_state*>& _backends,
    const std::map<region_name, slot_portion>& _portions, steady_time _now)
{
	std::map<region_name, region_room> rooms;
	for (const backend_state* backend : _backends)
	{
		if (!backend->usable(_now) || backend->cold(_now) || backend->region.empty())
		{
			continue;
		}
		region_room& room = rooms[backend->region];
		room.slots += backend->registered.slots;
		room.busy += std::min<double>(backend->registered.slots, backend->estimated_load(_now));
		room.in_flight += backend->load.in_flight;
	}
	for (auto& [region, room] : rooms)
	{
		const auto found = _portions.find(region);
		const slot_portion portion = _portions.end() == found ? slot_portion() : found->second;
		room.own_slots = (portion.end - portion.begin) * room.slots;
	}
	return rooms;
}
} // namespace larkrack
