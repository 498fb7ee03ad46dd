// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Time for tests.
#pragma once

#include "base/clock_p.h"

namespace larkrack
{
/// A clock that stands still until it is told to go on.
class clock_virtual : public clock_base
{
public:
	steady_time steady() const override;
	wall_time wall() const override;
	/// Moves both times on.
	/// @param[in] _by Interval.
	void advance(std::chrono::microseconds _by);

private:
	std::chrono::microseconds m_now{std::chrono::hours(24 * 365 * 50)};
};
} // namespace larkrack
