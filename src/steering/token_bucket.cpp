// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/token_bucket_p.h"

#include <algorithm>

namespace larkrack
{
bool token_bucket::take(double _per_s, double _burst, steady_time _now)
{
	if (steady_time{} != m_refilled_at)
	{
		const double passed_s = std::chrono::duration<double>(_now - m_refilled_at).count();
		m_tokens = std::min(_burst, m_tokens + passed_s * _per_s);
	}
	m_refilled_at = _now;
	if (m_tokens < 1.0)
	{
		return false;
	}
	m_tokens -= 1.0;
	return true;
}
} // namespace larkrack
