// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// What nodes keep a common limit for: the requests of a customer, or those to a backend server in need.
#pragma once

#include <cstdint>

namespace larkrack
{
/// Requests that all nodes together may let through.
struct quota_limit
{
	double per_s = 0.0; ///< Requests a second; 0: no limit.
	double burst = 0.0; ///< Requests above that, in any span.

	bool limited() const
	{
		return per_s > 0.0;
	}
	friend bool operator==(const quota_limit& _a, const quota_limit& _b)
	{
		return _a.per_s == _b.per_s && _a.burst == _b.burst;
	}
};

/// One limit, and the number by which nodes tell each other of it.
struct quota_subject
{
	std::uint64_t id = 0;
	quota_limit limit;
};
} // namespace larkrack
