// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/backend_choice_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>
#include <optional>

namespace larkrack
{
namespace
{
bool has_connection(const backend_state& _backend, const backend_query& _query)
{
	if (0 == _query.limits.max_connections || _backend.idle_connections > 0)
	{
		return true;
	}
	return _backend.connections < connections_of_node(_query.limits.max_connections, _query.sharers);
}

bool take_warmup_token(backend_state& _backend, const backend_query& _query,
    const warmup_sharing_base& _warmup, steady_time _now)
{
	const double per_s = _query.limits.warmup_requests_per_s;
	if (!_backend.cold(_now) || per_s <= 0.0)
	{
		return true;
	}
	// Only the nodes of its own region share the warm-up budget of a cold backend server.
	if (_backend.region != _query.own_region)
	{
		return false;
	}
	const double part = _warmup.warmup_share(_backend);
	return part > 0.0 && _backend.warmup.take(warmup_rate(per_s, part), k_warmup_burst, _now);
}

double rank_of(const backend_state& _backend, const backend_query& _query, steady_time _now)
{
	double rank = _query.key.any()
	                  ? unit_interval(rendezvous_weight(_backend.registered.id.text, _query.key.hash))
	                  : _query.rule->load_rank(_backend, _now);
	if (!_query.key.any() && _backend.limit.limited())
	{
		rank += k_limited_penalty;
	}
	if (!_query.nearest_domain.empty() && _backend.registered.domain != _query.nearest_domain)
	{
		rank += k_domain_penalty;
	}
	return rank;
}

bool ranks_lower(const ranked_candidates::candidate& _left, const ranked_candidates::candidate& _right)
{
	return _left.rank > _right.rank;
}

/// @returns Whether the backend server is unavailable only because of a rest period.
bool unavailable_only_by_rest(const backend_state& _backend, steady_time _now)
{
	return _backend.rest.resting(_now) && _backend.accepts_new_requests() && !_backend.ejection.ejected(_now);
}

/// @param[out] _back_at Earliest end of a rest among the backend servers that are unavailable only because of
/// a rest; not set if there are none.
ranked_candidates rank_candidates(const backend_query& _query, steady_time _now, steady_time& _back_at)
{
	std::vector<ranked_candidates::candidate> usable;
	for (backend_state* backend : *_query.candidates)
	{
		const bool version_admitted = _query.versions.admits(backend->registered.version);
		if (!version_admitted || backend->region != _query.region)
		{
			continue;
		}
		if (backend->usable(_now))
		{
			usable.push_back({rank_of(*backend, _query, _now), backend});
		}
		else if (unavailable_only_by_rest(*backend, _now))
		{
			const steady_time until = backend->rest.until();
			_back_at = steady_time{} == _back_at ? until : std::min(_back_at, until);
		}
	}
	return ranked_candidates(std::move(usable));
}

/// @param[in] _share_per_s This node's even share of requests for each backend server, per second.
/// @returns Why the backend server can not take the request, apart from its reported limit.
std::optional<backend_choice_reason> rejection_reason(const ranked_backend& _candidate,
    const backend_query& _query, double _share_per_s, const warmup_sharing_base& _warmup, steady_time _now)
{
	using why = backend_choice_reason;
	backend_state& backend = *_candidate.backend;
	if (_candidate.role.not_own && !_query.rule->accepts_other_keys(backend, _now))
	{
		return why::not_preferred_for_key;
	}
	if (is_among(backend, _query.tried) && !is_among(backend, _query.may_try_again))
	{
		return why::all_tried;
	}
	if (!_query.rule->has_slot(_candidate, _query, _now))
	{
		return why::no_slot;
	}
	if (!has_connection(backend, _query))
	{
		return why::no_connection;
	}
	if (!backend.rest.admits_after_rest(_share_per_s, _now))
	{
		return why::ramping_up;
	}
	if (!take_warmup_token(backend, _query, _warmup, _now))
	{
		return why::warmup_exhausted;
	}
	if (!_query.rule->charge_run(_candidate, _query, _now))
	{
		return why::cold_runs_exhausted;
	}
	return std::nullopt;
}

/// Takes a token if the backend server reports a limit.
/// @returns Whether the limit permits the request, now or within a moment.
quota_answer take_limit_token(const backend_state& _backend, const backend_query& _query)
{
	if (nullptr == _query.tokens || !_backend.limit.limited())
	{
		return quota_answer::granted;
	}
	const quota_answer answer = _query.tokens->take(_backend);
	return quota_answer::waits == answer && !_query.may_wait_for_token ? quota_answer::over_limit : answer;
}
} // namespace

ranked_candidates::ranked_candidates(std::vector<candidate> _candidates) : m_heap(std::move(_candidates))
{
	std::make_heap(m_heap.begin(), m_heap.end(), ranks_lower);
}

backend_state& ranked_candidates::next()
{
	std::pop_heap(m_heap.begin(), m_heap.end(), ranks_lower);
	backend_state& best = *m_heap.back().backend;
	m_heap.pop_back();
	return best;
}

bool is_among(const backend_state& _backend, const std::vector<backend_id>* _ids)
{
	return nullptr != _ids && _ids->end() != std::find(_ids->begin(), _ids->end(), _backend.registered.id);
}

backend_choice choose_backend(
    const backend_query& _query, const warmup_sharing_base& _warmup, steady_time _now)
{
	using why = backend_choice_reason;
	backend_choice none;
	ranked_candidates candidates_by_rank = rank_candidates(_query, _now, none.available_at);
	if (0 == candidates_by_rank.remaining())
	{
		none.why = steady_time{} == none.available_at ? why::none_usable : why::all_resting;
		return none;
	}
	const double share_per_s =
	    _query.region_requests_per_s / static_cast<double>(candidates_by_rank.remaining());
	const std::size_t preferred_count = _query.rule->own_servers(_query, candidates_by_rank.remaining());
	choice_progress progress{std::move(candidates_by_rank), preferred_count};
	for (ranked_backend candidate = _query.rule->next(progress, _query, _now); nullptr != candidate.backend;
	     candidate = _query.rule->next(progress, _query, _now))
	{
		backend_state& backend = *candidate.backend;
		if (is_among(backend, _query.without_token))
		{
			none.why = why::none_usable == none.why ? why::limit_exhausted : none.why;
			continue;
		}
		if (const std::optional<why> rejection =
		        rejection_reason(candidate, _query, share_per_s, _warmup, _now))
		{
			none.why = *rejection;
			++progress.rejected;
			continue;
		}
		const quota_answer token = take_limit_token(backend, _query);
		if (quota_answer::waits == token)
		{
			return {&backend, why::awaits_token};
		}
		if (quota_answer::granted != token)
		{
			none.why = why::none_usable == none.why ? why::limit_exhausted : none.why;
			if (nullptr != _query.without_token)
			{
				_query.without_token->push_back(backend.registered.id);
			}
			continue;
		}
		return {&backend, candidate.role.not_own ? _query.rule->reason_for_other_key()
		                  : _query.key.any()     ? why::preferred_for_key
		                                         : why::least_load};
	}
	return none;
}
} // namespace larkrack
