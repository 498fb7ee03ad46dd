// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/completion_choice_p.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace larkrack
{
namespace
{
/// @returns Whether this request can not be sent to the backend server, whatever its load.
bool excluded(const backend_state& _backend, const backend_query& _query)
{
	const bool tried = is_among(_backend, _query.tried) && !is_among(_backend, _query.may_try_again);
	return tried || is_among(_backend, _query.without_token);
}
/// Slots up to which the divisor of a rank is looked up.
constexpr int k_tabled_slots = 64;

constexpr std::array<double, k_tabled_slots + 1> make_inverses()
{
	std::array<double, k_tabled_slots + 1> inverses{};
	for (int slots = 0; slots <= k_tabled_slots; ++slots)
	{
		inverses[static_cast<std::size_t>(slots)] = 1.0 / ((slots > 1 ? slots : 1) * k_max_ranked_time_s);
	}
	return inverses;
}

/// @returns 1 / (slots * k_max_ranked_time_s).
double inverse_of(int _slots)
{
	static constexpr std::array<double, k_tabled_slots + 1> s_inverses = make_inverses();
	return _slots >= 0 && _slots <= k_tabled_slots ? s_inverses[static_cast<std::size_t>(_slots)]
	                                               : 1.0 / (std::max(1, _slots) * k_max_ranked_time_s);
}
} // namespace

double completion_choice::load_rank(const backend_state& _backend, steady_time _now) const
{
	// Called for each server of a region: the expected time and the tie break, without a division.
	const double slots = std::max(1, _backend.registered.slots);
	const double load = _backend.estimated_load(_now);
	const double filled = std::max(slots, load + 1.0);
	const double work_s = filled * works.own_s() * _backend.slowness.factor(_now);
	return std::min(1.0, (work_s + k_load_tie_break_s * load) * inverse_of(_backend.registered.slots));
}

std::size_t completion_choice::own_servers(const backend_query& _query, std::size_t _candidates) const
{
	const double filled = k_own_servers_per_share * _query.key_share * static_cast<double>(_candidates);
	return static_cast<std::size_t>(std::max(1.0, std::ceil(filled)));
}

ranked_backend completion_choice::next(
    choice_progress& _progress, const backend_query& _query, steady_time) const
{
	if (!_query.key.any())
	{
		return 0 == _progress.candidates.remaining() ? ranked_backend{}
		                                             : ranked_backend{&_progress.candidates.next(), {}};
	}
	if (!_progress.compared)
	{
		select(_progress, _query);
	}
	if (_progress.selected.empty())
	{
		return {};
	}
	const ranked_backend best = _progress.selected.back();
	_progress.selected.pop_back();
	return best;
}

void completion_choice::select(choice_progress& _progress, const backend_query& _query)
{
	_progress.compared = true;
	std::vector<ranked_backend> selected;
	const std::size_t last = _progress.preferred_count + k_further_servers;
	for (std::size_t position = 0; position < last && _progress.candidates.remaining() > 0; ++position)
	{
		backend_state& backend = _progress.candidates.next();
		if (!excluded(backend, _query))
		{
			selected.push_back({&backend, {0 == position, position >= _progress.preferred_count}});
		}
	}
	_progress.selected.assign(selected.rbegin(), selected.rend());
}

bool completion_choice::accepts_other_keys(const backend_state&, steady_time) const
{
	return true;
}

bool completion_choice::has_slot(
    const ranked_backend& _candidate, const backend_query& _query, steady_time _now) const
{
	const backend_state& backend = *_candidate.backend;
	const double load = backend.estimated_load(_now);
	if (load < backend.registered.slots || backend.load.in_flight < _query.own_portion.slots_of(backend))
	{
		return true;
	}
	const double depth = _candidate.role.not_own ? k_max_further_depth : k_max_queue_depth;
	return _query.key.any() && load < depth * backend.registered.slots;
}

completion_choice::region_state& completion_choice::load_of(const backend_query& _query, steady_time _now)
{
	region_state& region = m_regions[_query.region];
	if (steady_time{} != region.summed_at && _now - region.summed_at < k_region_load_lifetime)
	{
		return region;
	}
	region.summed_at = _now;
	region.slots = 0.0;
	double requests = 0.0;
	for (const backend_state* backend : *_query.candidates)
	{
		if (backend->region == _query.region && backend->usable(_now))
		{
			region.slots += backend->registered.slots;
			requests += backend->estimated_load(_now);
		}
	}
	region.load = region.slots > 0.0 ? requests / region.slots : 1.0;
	return region;
}

bool completion_choice::charge_run(
    const ranked_backend& _candidate, const backend_query& _query, steady_time _now)
{
	if (!_candidate.role.not_own)
	{
		return true;
	}
	region_state& region = load_of(_query, _now);
	if (region.load < k_short_capacity_load)
	{
		return true;
	}
	const double own_slots = (_query.own_portion.end - _query.own_portion.begin) * region.slots;
	const double runs_per_s = k_cold_run_part * own_slots / works.other_s();
	return region.cold_runs.take(runs_per_s, k_cold_run_burst, _now);
}

backend_choice_reason completion_choice::reason_for_other_key() const
{
	return backend_choice_reason::next_for_key;
}
} // namespace larkrack
