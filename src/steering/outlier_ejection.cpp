// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/outlier_ejection_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Milliseconds of the first ejection. Longer: a backend server that had one short fault stays unused.
/// Shorter: each attempt at an unreachable backend server costs a request its connect time.
constexpr std::chrono::milliseconds k_first_ejection{300};
/// Maximum length of an ejection, milliseconds. Longer: a backend server that has recovered is detected late.
/// Shorter: a dead backend server is tried more often.
constexpr std::chrono::milliseconds k_max_ejection{3000};
/// Maximum number of doublings of the first ejection; beyond that the maximum above applies anyway.
constexpr int k_max_ejection_doublings = 4;
/// Consecutive lost responses that eject. A single one may be the fault of one connection; with a higher
/// value more requests are lost before an ejection.
constexpr int k_lost_responses_to_eject = 3;
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
	if (backend_signal::lost == _signal && m_failures < k_lost_responses_to_eject)
	{
		return {ejection_reason::too_few_lost, {}};
	}
	const int doublings = std::min(m_failures - 1, k_max_ejection_doublings);
	const auto time = std::min(k_max_ejection, k_first_ejection * (1 << doublings));
	m_ejected_until = _now + time;
	const bool lost = backend_signal::lost == _signal;
	return {lost ? ejection_reason::lost_responses : ejection_reason::unreachable, time};
}
} // namespace larkrack
