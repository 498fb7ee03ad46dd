// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/peak_rates_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
const rate_by_region& peak_rates::update(const rate_by_region& _per_s, steady_time _now)
{
	const double passed_s = std::chrono::duration<double>(_now - m_updated_at).count();
	m_updated_at = _now;
	const double decay = std::exp(-passed_s / k_peak_time_constant_s);
	for (auto& [region, peak] : m_peaks)
	{
		peak *= decay;
	}
	for (const auto& [region, per_s] : _per_s)
	{
		double& peak = m_peaks[region];
		peak = std::max(peak, per_s);
	}
	return m_peaks;
}
} // namespace larkrack
