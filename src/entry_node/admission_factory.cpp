// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/admission_factory_p.h"

#include "steering/arrival_admission_p.h"
#include "steering/priority_admission_p.h"

namespace larkrack
{
namespace
{
std::unique_ptr<admission_base> make_arrival_admission(const admission_surroundings& _surroundings)
{
	return std::make_unique<arrival_admission>(_surroundings.random);
}

std::unique_ptr<admission_base> make_priority_admission(const admission_surroundings& _surroundings)
{
	const auto seed = static_cast<std::uint32_t>(_surroundings.random());
	return std::make_unique<priority_admission>(_surroundings.region, seed, _surroundings.weight_of);
}
} // namespace

admission_factory make_admission_factory(admission_kind _kind)
{
	switch (_kind)
	{
	case admission_kind::priority:
		return make_priority_admission;
	case admission_kind::arrival:
		break;
	}
	return make_arrival_admission;
}
} // namespace larkrack
