// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/service_steering_p.h"

#include <cmath>

namespace larkrack
{
std::chrono::milliseconds min_plan_interval(std::size_t _backends)
{
	/// Microseconds between two plans for each backend server. Longer: shares follow demand later. Shorter:
	/// more CPU time.
	constexpr std::chrono::microseconds k_pause_per_backend{100};
	return std::chrono::duration_cast<std::chrono::milliseconds>(k_pause_per_backend * _backends);
}

service_steering::service_steering(region_name _home, const shared_bounds& _bounds)
    : shares{region_shares(_home, pace_for(_bounds.max_shift, _bounds.shift_window)),
          region_shares(_home, pace_for(_bounds.max_shift, _bounds.shift_window))},
      retries(_bounds.retries), m_home(std::move(_home))
{
}

std::optional<share_change> service_steering::update(const std::vector<backend_state*>& _backends,
    rate_by_region _per_s_elsewhere, rate_by_region _pinned_elsewhere, steady_time _now)
{
	demand_rates rates{
	    std::move(_per_s_elsewhere), demand.service_time_s(), 0.0, std::move(_pinned_elsewhere)};
	for (const auto& [region, per_s] : pinned_per_s())
	{
		rates.pinned_per_s[region] += per_s;
	}
	rates.per_s[m_home] += demand.requests_per_s();
	rates.unmeasured = m_first_rates.unmeasured(rates.per_s, _now);
	if (choice.by_completion())
	{
		// Uneven services: plans lead a rising demand, and waits at backend servers do not count as demand.
		rates.per_s = m_trend.update(rates.per_s, _now);
		rates.service_time_s = choice.completion.works.own_s();
	}
	load_by_region figures = region_loads(m_home, _backends, rates, _now);
	shares.by_demand.move_towards(plan_by_demand(m_home, figures, m_last_capacity), _now);
	m_last_capacity = capacity_of(figures, m_home);
	rates.per_s = m_peaks.update(rates.per_s, _now);
	const load_by_region at_peaks = region_loads(m_home, _backends, rates, _now);
	shares.of_keys.move_towards(
	    plan_for_keys(m_home, at_peaks, shares.of_keys.shares(), _backends, _now), _now);
	const double home_share = shares.by_demand.share_of(m_home);
	if (std::abs(home_share - m_logged_home_share) < k_logged_share_change)
	{
		return std::nullopt;
	}
	m_logged_home_share = home_share;
	return share_change{home_share, std::move(figures)};
}

void service_steering::tick(double _passed_s)
{
	demand.tick(_passed_s);
	for (auto& [region, meter] : m_pinned)
	{
		meter.tick(_passed_s);
	}
}

rate_by_region service_steering::pinned_per_s() const
{
	rate_by_region rates;
	for (const auto& [region, meter] : m_pinned)
	{
		if (meter.requests_per_s() > k_min_demand_per_s)
		{
			rates[region] = meter.requests_per_s();
		}
	}
	return rates;
}

double service_steering::sent_per_s(const region_name& _region, affinity_key _key) const
{
	const region_shares& in_force = _key.any() ? shares.of_keys : shares.by_demand;
	return in_force.share_of(_region) * demand.requests_per_s();
}

slot_portion service_steering::own_portion(const region_name& _region) const
{
	const auto portion = m_own_portions.find(_region);
	return m_own_portions.end() == portion ? slot_portion{} : portion->second;
}
} // namespace larkrack
