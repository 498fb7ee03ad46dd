// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/backend_choice_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace larkrack
{
namespace
{
/// A usable backend server and its rank.
struct candidate
{
	double rank; ///< Lower is better.
	backend_state* backend;
};

bool has_slot(const backend_state& _backend, double _depth, const slot_portion& _own, steady_time _now)
{
	return _backend.estimated_load(_now) < _depth * _backend.registered.slots ||
	       _backend.load.in_flight < _own.slots_of(_backend);
}

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
	                  : _backend.estimated_load(_now) / std::max(1, _backend.registered.slots);
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

/// Yields candidates in order of rank, best first. Usually one of the first few is chosen, so a heap is used:
/// with 3,000 backend servers in a region a choice takes 55 us, compared to 207 us with a sorted list.
class ranked_candidates
{
public:
	explicit ranked_candidates(std::vector<candidate> _candidates) : m_heap(std::move(_candidates))
	{
		std::make_heap(m_heap.begin(), m_heap.end(), ranks_lower);
	}
	std::size_t remaining() const
	{
		return m_heap.size();
	}
	backend_state& next()
	{
		std::pop_heap(m_heap.begin(), m_heap.end(), ranks_lower);
		backend_state& best = *m_heap.back().backend;
		m_heap.pop_back();
		return best;
	}

private:
	static bool ranks_lower(const candidate& _left, const candidate& _right)
	{
		return _left.rank > _right.rank;
	}

	std::vector<candidate> m_heap;
};

/// @returns Whether the backend server is unavailable only because of a rest period.
bool unavailable_only_by_rest(const backend_state& _backend, steady_time _now)
{
	return _backend.rest.resting(_now) && _backend.accepts_new_requests() && !_backend.ejection.ejected(_now);
}

/// @param[out] _back_at Earliest end of a rest among the backend servers that are unavailable only because of
/// a rest; not set if there are none.
ranked_candidates rank_candidates(const backend_query& _query, steady_time _now, steady_time& _back_at)
{
	std::vector<candidate> usable;
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

bool is_among(const backend_state& _backend, const std::vector<backend_id>* _ids)
{
	return nullptr != _ids && _ids->end() != std::find(_ids->begin(), _ids->end(), _backend.registered.id);
}

/// Role of a candidate for a request with a key; all false for a request without a key.
struct key_role
{
	bool first = false;   ///< The first backend server of the key.
	bool not_own = false; ///< Not one of the key's own backend servers.
};

/// @param[in] _share_per_s This node's even share of requests for each backend server, per second.
/// @returns Why the backend server can not take the request, apart from its reported limit.
std::optional<backend_choice_reason> rejection_reason(backend_state& _backend, const backend_query& _query,
    const key_role& _role, double _share_per_s, const warmup_sharing_base& _warmup, steady_time _now)
{
	using why = backend_choice_reason;
	if (_role.not_own && _backend.estimated_load(_now) > k_max_idle_load * _backend.registered.slots)
	{
		return why::not_preferred_for_key;
	}
	if (is_among(_backend, _query.tried))
	{
		return why::all_tried;
	}
	if (!has_slot(_backend, _role.first ? k_preferred_depth : 1.0, _query.own_portion, _now))
	{
		return why::no_slot;
	}
	if (!has_connection(_backend, _query))
	{
		return why::no_connection;
	}
	if (!_backend.rest.admits_after_rest(_share_per_s, _now))
	{
		return why::ramping_up;
	}
	if (!take_warmup_token(_backend, _query, _warmup, _now))
	{
		return why::warmup_exhausted;
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
	const auto preferred_count = static_cast<std::size_t>(
	    k_min_backends_per_key + std::ceil(k_backends_per_key_share * _query.key_share *
	                                       static_cast<double>(candidates_by_rank.remaining())));
	/// Candidates rejected so far; those without a token are not counted, so that the next candidate takes
	/// their place.
	std::size_t rejected = 0;
	while (candidates_by_rank.remaining() > 0)
	{
		backend_state& backend = candidates_by_rank.next();
		if (is_among(backend, _query.without_token))
		{
			none.why = why::none_usable == none.why ? why::limit_exhausted : none.why;
			continue;
		}
		const key_role role{
		    _query.key.any() && 0 == rejected, _query.key.any() && rejected >= preferred_count};
		if (const std::optional<why> rejection =
		        rejection_reason(backend, _query, role, share_per_s, _warmup, _now))
		{
			none.why = *rejection;
			++rejected;
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
		return {&backend, role.not_own       ? why::idle_for_key
		                  : _query.key.any() ? why::preferred_for_key
		                                     : why::least_load};
	}
	return none;
}
} // namespace larkrack
