// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/store_pacing_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Milliseconds of the first pause, at most. Longer: short trouble costs more news. Shorter: more calls. Not
/// measured.
constexpr std::chrono::milliseconds k_pause_first{100};
/// Milliseconds of the longest pause. Longer: the store's return is seen later, and entries that lapsed are
/// kept longer. Shorter: more calls in an outage. Not measured.
constexpr std::chrono::milliseconds k_pause_last{800};
/// Doublings of the first pause, at most; beyond them the longest pause holds anyway.
constexpr int k_pause_doublings = 4;
} // namespace

std::chrono::milliseconds draw_backoff(int _tries, std::minstd_rand& _random)
{
	const auto longest = std::min(k_pause_last, k_pause_first * (1 << std::min(_tries, k_pause_doublings)));
	std::uniform_int_distribution<int> pause(
	    static_cast<int>(longest.count()) / 2, static_cast<int>(longest.count()));
	return std::chrono::milliseconds(pause(_random));
}

bool registration_lapsed(bool _done, std::chrono::seconds _left)
{
	return _done && 0 == _left.count();
}
} // namespace larkrack
