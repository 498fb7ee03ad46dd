// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Token bucket: lets events through at a steady rate.
///
/// Decides whether one more event fits a rate (events a second) and a burst (events). Tokens come at the rate
/// and are saved up to the burst; each event takes one. A new bucket is empty, because many nodes that start
/// together would otherwise each spend a whole burst of a budget that they share. Used for the warm-up of
/// backend servers and for requests that leave their region.
///
/// Relies on a steady clock only.
#pragma once

#include "base/clock_p.h"

namespace larkrack
{
/// Lets events through at a steady rate.
class token_bucket
{
public:
	/// Takes one token if there is one.
	/// @param[in] _per_s Rate at which tokens come.
	/// @param[in] _burst Most tokens that are saved up.
	/// @returns Whether there was one.
	bool take(double _per_s, double _burst, steady_time _now);

private:
	double m_tokens = 0.0;
	steady_time m_filled_at{};
};
} // namespace larkrack
