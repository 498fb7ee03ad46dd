// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Virtual clock for tests.
/// Owns: its time, which starts about 50 years after the epoch of both clocks.
/// Relies on: nothing outside base.
#pragma once

#include "base/clock_p.h"

namespace larkrack
{
/// Clock that only moves when advance() is called.
class clock_virtual : public clock_base
{
public:
	steady_time steady() const override;
	wall_time wall() const override;
	/// Advances the monotonic and the wall clock.
	void advance(std::chrono::microseconds _by);

private:
	std::chrono::microseconds m_now{std::chrono::hours(24 * 365 * 50)};
};
} // namespace larkrack
