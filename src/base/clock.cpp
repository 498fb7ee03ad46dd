// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "base/clock_p.h"

#include <ctime>

namespace larkrack
{
steady_time clock_system::steady() const
{
	return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::steady_clock::now());
}

steady_time clock_boottime::steady() const
{
	timespec now{};
	clock_gettime(CLOCK_BOOTTIME, &now); // Cannot fail: every supported kernel has CLOCK_BOOTTIME.
	return steady_time(
	    std::chrono::seconds(now.tv_sec) +
	    std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::nanoseconds(now.tv_nsec)));
}

wall_time clock_system::wall() const
{
	return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
}
} // namespace larkrack
