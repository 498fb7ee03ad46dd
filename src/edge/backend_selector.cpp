// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "backend_selector_p.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace larkrack
{
namespace
{
/// Part of the warm-up rate that is used, so that small bursts of several nodes stay within the bound.
constexpr double k_warmup_part = 0.9;
/// Ranks by which a backend server in another failure domain than the preferred one falls behind.
constexpr double k_domain_penalty = 2.0;

bool has_slot(const backend_server& _backend, steady_time _now)
{
	return _backend.busy(_now) < _backend.record.slots;
}

bool has_connection(const backend_server& _backend, const service_bounds& _bounds, const sharing& _sharing)
{
	if (0 == _bounds.max_connections || !_backend.idle.empty())
	{
		return true;
	}
	return _backend.connections < std::max(1.0, _bounds.max_connections / _sharing.nodes);
}

bool grant_cold(
    backend_server& _backend, const selection& _selection, double _per_s, double _nodes, steady_time _now)
{
	if (!_backend.cold(_now) || _per_s <= 0.0)
	{
		return true;
	}
	// Only the nodes of its own region divide the budget of a cold backend server among themselves.
	if (_backend.region != _selection.own_region)
	{
		return false;
	}
	return _backend.warmup.take(k_warmup_part * _per_s / _nodes, 1.0, _now);
}

/// Lower is better.
double rank_of(const backend_server& _backend, const selection& _selection, steady_time _now)
{
	double rank = _backend.busy(_now) / std::max(1, _backend.record.slots);
	if (0 != _selection.affinity)
	{
		const std::uint64_t hash =
		    XXH64(_backend.record.id.data(), _backend.record.id.size(), _selection.affinity);
		rank = static_cast<double>(hash >> 11U) / static_cast<double>(1ULL << 53U);
	}
	if (!_selection.nearest_domain.empty() && _backend.record.domain != _selection.nearest_domain)
	{
		rank += k_domain_penalty;
	}
	return rank;
}
} // namespace

backend_ptr backend_selector::select(const selection& _selection, const service_bounds& _bounds,
    const sharing& _sharing, steady_time _now) const
{
	struct ranked
	{
		double rank;
		const backend_ptr* backend;
	};
	std::vector<ranked> ready;
	for (const backend_ptr& backend : *_selection.candidates)
	{
		if (backend->region != _selection.region || !backend->usable(_now) || !has_slot(*backend, _now) ||
		    !has_connection(*backend, _bounds, _sharing))
		{
			continue;
		}
		const bool tried = _selection.tried.end() !=
		                   std::find(_selection.tried.begin(), _selection.tried.end(), backend->record.id);
		if (!tried)
		{
			ready.push_back({rank_of(*backend, _selection, _now), &backend});
		}
	}
	std::sort(ready.begin(), ready.end(),
	    [](const ranked& _left, const ranked& _right)
	    {
		    return _left.rank < _right.rank;
	    });
	for (const ranked& one : ready)
	{
		if (grant_cold(**one.backend, _selection, _bounds.warmup_requests_per_s, _sharing.nodes_in_region, _now))
		{
			return *one.backend;
		}
	}
	return nullptr;
}
} // namespace larkrack
