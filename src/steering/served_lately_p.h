// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Recently served requests: the requests without a body that this node has seen served in the last few
/// seconds.
///
/// A popular request is running on most backend servers that crash, and must not be blocked for a crash that
/// it did not cause. Inputs: the hash of each request without a body that was served. Requests with a body
/// are left out, since hashing them would read the whole body each time.
///
/// Owns a table of fixed size; a later request replaces an earlier one in the same entry.
#pragma once

#include "base/clock_p.h"

#include <array>

namespace larkrack
{
/// Time for which a request counts as recently served. Longer: a request that a new release has broken is
/// blamed later.
constexpr std::chrono::seconds k_recently_served_time{5};
/// Number of entries, 16 bytes each. Fewer: a popular request is displaced by others.
constexpr std::size_t k_recently_served_entries = 1024;

/// Table of the recently served requests.
class recently_served
{
public:
	void note(std::uint64_t _request, steady_time _now)
	{
		m_entries[_request % k_recently_served_entries] = {_request, _now};
	}
	bool has(std::uint64_t _request, steady_time _now) const
	{
		const entry& found = m_entries[_request % k_recently_served_entries];
		return found.request == _request && steady_time{} != found.at &&
		       _now - found.at <= k_recently_served_time;
	}

private:
	struct entry
	{
		std::uint64_t request = 0;
		steady_time at{};
	};
	std::array<entry, k_recently_served_entries> m_entries{};
};
} // namespace larkrack
