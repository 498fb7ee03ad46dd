// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Subject of a quota: a customer, or a backend server that states a limit, whose requests all nodes limit
/// together.
#pragma once

#include <cstdint>

namespace larkrack
{
/// Limit on the requests of all nodes together.
struct quota_limit
{
	double per_s = 0.0; ///< Requests per second; 0: no limit.
	double burst = 0.0; ///< Requests above the rate, in any time span.

	bool limited() const
	{
		return per_s > 0.0;
	}
	friend bool operator==(const quota_limit& _a, const quota_limit& _b)
	{
		return _a.per_s == _b.per_s && _a.burst == _b.burst;
	}
};

/// A limit, and the id that stands for its subject in messages between nodes.
struct quota_subject
{
	std::uint64_t id = 0;
	quota_limit limit;
};
} // namespace larkrack
