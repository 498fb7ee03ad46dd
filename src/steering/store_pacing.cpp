// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/store_pacing_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Maximum of the first pause, in milliseconds. Longer: a short disturbance delays changes more. Shorter:
/// more calls.
constexpr std::chrono::milliseconds k_initial_backoff{100};
/// Maximum pause, in milliseconds. Longer: the store's recovery is noticed later, and expired entries are
/// kept longer. Shorter: more calls in an outage.
constexpr std::chrono::milliseconds k_max_backoff{800};
/// Maximum doublings of the first pause; beyond them the maximum pause applies anyway.
constexpr int k_max_backoff_doublings = 4;
} // namespace

std::chrono::milliseconds draw_backoff(int _tries, std::minstd_rand& _random)
{
	const auto bound =
	    std::min(k_max_backoff, k_initial_backoff * (1 << std::min(_tries, k_max_backoff_doublings)));
	std::uniform_int_distribution<int> pause(
	    static_cast<int>(bound.count()) / 2, static_cast<int>(bound.count()));
	return std::chrono::milliseconds(pause(_random));
}

bool registration_expired(bool _done, std::chrono::seconds _left)
{
	return _done && 0 == _left.count();
}
} // namespace larkrack
