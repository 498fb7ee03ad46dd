// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Served lately: which requests without a body this node has seen served within the last moments.
///
/// For: a popular request is on most backend servers that end by themselves, and is not to be blamed for it.
/// Inputs: the hash of each request without a body that was served. A request with a body is left out: it
/// would need a pass through the body each time.
///
/// A table of fixed size; a later request takes the place of an earlier one.
#pragma once

#include "base/clock_p.h"

#include <array>

namespace larkrack
{
/// Time for which a request counts as served lately. Longer: one that a release has broken is blamed later.
constexpr std::chrono::seconds k_served_lately{5};
/// Requests that are remembered, 16 bytes each. Fewer: a popular request is forgotten among others.
constexpr std::size_t k_served_places = 1024;

/// Requests that were served.
class served_lately
{
public:
	void note(std::uint64_t _request, steady_time _now)
	{
		m_places[_request % k_served_places] = {_request, _now};
	}
	bool has(std::uint64_t _request, steady_time _now) const
	{
		const place& found = m_places[_request % k_served_places];
		return found.request == _request && steady_time{} != found.at && _now - found.at <= k_served_lately;
	}

private:
	struct place
	{
		std::uint64_t request = 0;
		steady_time at{};
	};
	std::array<place, k_served_places> m_places{};
};
} // namespace larkrack
