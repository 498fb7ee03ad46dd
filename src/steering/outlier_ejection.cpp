// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/outlier_ejection_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Milliseconds of the first ejection. Longer: a backend server that had one short fault stays unused.
/// Shorter: each try at one that is down costs a request its time to connect. Not measured.
constexpr std::chrono::milliseconds k_ejection_first{300};
/// Milliseconds of the longest ejection. Longer: one that is well again is found late. Shorter: a dead one is
/// tried more often. Not measured.
constexpr std::chrono::milliseconds k_ejection_longest{3000};
/// Doublings of the first ejection, at most; beyond them the bound above holds anyway. Not measured.
constexpr int k_ejection_doublings = 4;
/// Lost answers in a row that eject. One alone may be the fault of one connection; more lose more requests
/// before they eject. Not measured.
constexpr int k_lost_answers = 3;
} // namespace

ejection_decision outlier_ejection::on_exchange_end(backend_signal _signal, steady_time _now)
{
	if (backend_signal::answered == _signal)
	{
		m_failures = 0;
		return {};
	}
	if (backend_signal::refused == _signal || backend_signal::not_tried == _signal)
	{
		return {};
	}
	++m_failures;
	if (backend_signal::lost == _signal && m_failures < k_lost_answers)
	{
		return {ejection_reason::few_lost, {}};
	}
	const int doublings = std::min(m_failures - 1, k_ejection_doublings);
	const auto time = std::min(k_ejection_longest, k_ejection_first * (1 << doublings));
	m_ejected_until = _now + time;
	const bool lost = backend_signal::lost == _signal;
	return {lost ? ejection_reason::lost_answers : ejection_reason::unreachable, time};
}
} // namespace larkrack
