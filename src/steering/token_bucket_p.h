// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Token bucket: rate limiter with a burst.
///
/// Decides whether one more event is within a rate (events per second) and a burst (events). Tokens accrue at
/// the rate up to the burst; each event takes one token. A new bucket is empty, because many nodes that start
/// together would otherwise each spend a whole burst of a budget that they share. Used for the warm-up of
/// backend servers and for requests that leave their region.
///
/// Owns its tokens. Relies on a steady clock only.
#pragma once

#include "base/clock_p.h"

namespace larkrack
{
/// Rate limiter with a burst.
class token_bucket
{
public:
	/// Takes one token if there is one.
	/// @param[in] _per_s Rate at which tokens accrue.
	/// @param[in] _burst Maximum number of tokens.
	/// @returns Whether there was a token.
	bool take(double _per_s, double _burst, steady_time _now);

private:
	double m_tokens = 0.0;
	steady_time m_refilled_at{};
};
} // namespace larkrack
