// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/entry_life_p.h"

namespace larkrack
{
entry_incarnation classify_entry(std::int64_t _known_born_ms, std::int64_t _born_ms)
{
	if (0 == _born_ms || _known_born_ms == _born_ms)
	{
		return entry_incarnation::same;
	}
	return _born_ms > _known_born_ms ? entry_incarnation::newer : entry_incarnation::former;
}
} // namespace larkrack
