// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The default policy, `own_count`. Relies on candidate::running, which the gate counts exactly, so that the
/// slots of a backend server are never exceeded, whatever the backend server reports.

#include "larkrackd/chooser_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Weight of the reported load, relative to the exactly counted load.
constexpr double k_reported_weight = 0.25;
/// Weight of the latency, which is relative to the slowest candidate.
constexpr double k_latency_weight = 0.25;

/// Selects the candidate with the lowest cost among those that have a free slot by the exact count of running
/// requests; reported load and latency only affect the order.
class chooser_own_count : public chooser_base
{
public:
	std::size_t choose(const std::vector<candidate>& _candidates) override
	{
		double slowest = 1.0;
		for (const candidate& one : _candidates)
		{
			slowest = std::max(slowest, one.latency_us);
		}
		std::size_t best = k_no_choice;
		double best_cost = 0.0;
		const std::size_t count = _candidates.size();
		++m_start;
		for (std::size_t step = 0; step < count; ++step)
		{
			const std::size_t at = (m_start + step) % count;
			const candidate& one = _candidates[at];
			if (one.usable <= one.running)
			{
				continue;
			}
			const double own_load = static_cast<double>(one.running) / one.usable;
			const double cost = own_load + k_reported_weight * std::max(0.0, one.reported - own_load) +
			                    k_latency_weight * one.latency_us / slowest;
			if (k_no_choice == best || cost < best_cost)
			{
				best = at;
				best_cost = cost;
			}
		}
		return best;
	}
	bool respects_slots() const override
	{
		return true;
	}

private:
	std::size_t m_start = 0;
};
} // namespace

std::unique_ptr<chooser_base> create_chooser_own_count()
{
	return std::make_unique<chooser_own_count>();
}
} // namespace larkrack
