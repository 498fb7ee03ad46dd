// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "base/clock_p.h"

namespace larkrack
{
steady_time clock_system::steady() const
{
	return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::steady_clock::now());
}

wall_time clock_system::wall() const
{
	return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
}
} // namespace larkrack
