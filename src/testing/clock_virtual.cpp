// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "testing/clock_virtual_p.h"

namespace larkrack
{
steady_time clock_virtual::steady() const
{
	return steady_time(m_now);
}

wall_time clock_virtual::wall() const
{
	return wall_time(m_now);
}

void clock_virtual::advance(std::chrono::microseconds _by)
{
	m_now += _by;
}
} // namespace larkrack
