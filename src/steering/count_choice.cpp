// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/count_choice_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
backend_choice_rule_base& count_choice_rule()
{
	static count_choice s_rule;
	return s_rule;
}

double count_choice::load_rank(const backend_state& _backend, steady_time _now) const
{
	return _backend.estimated_load(_now) / std::max(1, _backend.registered.slots);
}

std::size_t count_choice::own_servers(const backend_query& _query, std::size_t _candidates) const
{
	return static_cast<std::size_t>(
	    k_min_backends_per_key +
	    std::ceil(k_backends_per_key_share * _query.key_share * static_cast<double>(_candidates)));
}

ranked_backend count_choice::next(choice_progress& _progress, const backend_query& _query, steady_time) const
{
	if (0 == _progress.candidates.remaining())
	{
		return {};
	}
	const bool has_key = _query.key.any();
	const key_role role{
	    has_key && 0 == _progress.rejected, has_key && _progress.rejected >= _progress.preferred_count};
	return {&_progress.candidates.next(), role};
}

bool count_choice::accepts_other_keys(const backend_state& _backend, steady_time _now) const
{
	return _backend.estimated_load(_now) <= k_max_idle_load * _backend.registered.slots;
}

bool count_choice::has_slot(
    const ranked_backend& _candidate, const backend_query& _query, steady_time _now) const
{
	const backend_state& backend = *_candidate.backend;
	const double depth = _candidate.role.first ? k_preferred_depth : 1.0;
	return backend.estimated_load(_now) < depth * backend.registered.slots ||
	       backend.load.in_flight < _query.own_portion.slots_of(backend);
}

bool count_choice::charge_run(const ranked_backend&, const backend_query&, steady_time)
{
	return true;
}

backend_choice_reason count_choice::reason_for_other_key() const
{
	return backend_choice_reason::idle_for_key;
}
} // namespace larkrack
