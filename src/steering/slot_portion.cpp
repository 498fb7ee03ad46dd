// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/slot_portion_p.h"

#include <cmath>

namespace larkrack
{
int slot_portion::slots_of(const backend_state& _backend) const
{
	const double offset = _backend.id_hash / static_cast<double>(UINT32_MAX);
	const int slots = _backend.registered.slots;
	return static_cast<int>(std::floor(end * slots + offset) - std::floor(begin * slots + offset));
}

slot_portion plan_slot_portion(double _own_per_s, const other_nodes_rates& _others)
{
	const double all = _own_per_s + _others.total_per_s;
	if (_own_per_s <= 0.0)
	{
		return all > 0.0 ? slot_portion{0.0, 0.0} : slot_portion{};
	}
	return {_others.preceding_per_s / all, (_others.preceding_per_s + _own_per_s) / all};
}
} // namespace larkrack
