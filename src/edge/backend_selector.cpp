// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "backend_selector_p.h"

#include <algorithm>
#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace larkrack
{
namespace
{
/// Part of the warm-up rate that is used, so that small bursts of several nodes stay within the bound.
constexpr double k_warmup_part = 0.9;
/// Backend servers of each key, besides those that its share of the requests needs.
constexpr double k_key_servers = 1.0;
/// Backend servers of a key for each one that its requests would fill if all were alike.
constexpr double k_key_servers_by_share = 1.0;
/// Part of its slots up to which a backend server takes keys that are not its own.
constexpr double k_idle_part = 0.2;
/// Ranks by which a backend server in another failure domain than the preferred one falls behind.
constexpr double k_domain_penalty = 2.0;

/// Requests that the first backend server of a key may hold, as a multiple of its slots: to wait a moment for
/// one that knows the key is faster than to start at once where nobody knows it.
constexpr double k_own_depth = 1.7;

bool has_slot(const backend_state& _backend, double _depth, const slot_portion& _portion, steady_time _now)
{
	return _backend.estimated_load(_now) < _depth * _backend.registered.slots ||
	       _backend.load.in_flight < _portion.slots_of(_backend);
}

bool has_connection(const backend_state& _backend, const service_bounds& _bounds, const sharing& _sharing)
{
	if (0 == _bounds.max_connections || _backend.idle_connections > 0)
	{
		return true;
	}
	return _backend.connections < std::max(1.0, _bounds.max_connections / _sharing.nodes);
}

bool grant_cold(backend_state& _backend, const selection& _selection, double _per_s,
    const warmup_sharing_base& _warmup, steady_time _now)
{
	if (!_backend.cold(_now) || _per_s <= 0.0)
	{
		return true;
	}
	// Only the nodes of its own region divide the budget of a cold backend server among themselves.
	if (_backend.region.text != _selection.own_region)
	{
		return false;
	}
	const double part = _warmup.warmup_part(_backend);
	return part > 0.0 && _backend.warmup.take(k_warmup_part * _per_s * part, 1.0, _now);
}

/// Lower is better.
double rank_of(const backend_state& _backend, const selection& _selection, steady_time _now)
{
	double rank = _backend.estimated_load(_now) / std::max(1, _backend.registered.slots);
	if (0 != _selection.affinity)
	{
		const std::uint64_t hash = XXH64(
		    _backend.registered.id.text.data(), _backend.registered.id.text.size(), _selection.affinity);
		rank = static_cast<double>(hash >> 11U) / static_cast<double>(1ULL << 53U);
	}
	if (!_selection.nearest_domain.empty() && _backend.registered.domain.text != _selection.nearest_domain)
	{
		rank += k_domain_penalty;
	}
	return rank;
}
} // namespace

int slot_portion::slots_of(const backend_state& _backend) const
{
	const double offset = _backend.id_hash / static_cast<double>(UINT32_MAX);
	const int slots = _backend.registered.slots;
	return static_cast<int>(std::floor(end * slots + offset) - std::floor(begin * slots + offset));
}

backend_state* backend_selector::select(const selection& _selection, const service_bounds& _bounds,
    const sharing& _sharing, const warmup_sharing_base& _warmup, steady_time _now) const
{
	struct ranked
	{
		double rank;
		backend_state* backend;
	};
	std::vector<ranked> order;
	for (backend_state* backend : *_selection.candidates)
	{
		if (backend->region.text == _selection.region && backend->usable(_now))
		{
			order.push_back({rank_of(*backend, _selection, _now), backend});
		}
	}
	std::sort(order.begin(), order.end(),
	    [](const ranked& _left, const ranked& _right)
	    {
		    return _left.rank < _right.rank;
	    });
	const auto own = static_cast<std::size_t>(
	    k_key_servers +
	    std::ceil(k_key_servers_by_share * _selection.key_share * static_cast<double>(order.size())));
	for (std::size_t i = 0; i < order.size(); ++i)
	{
		backend_state& backend = *order[i].backend;
		const bool foreign = 0 != _selection.affinity && i >= own;
		if (foreign && backend.estimated_load(_now) > k_idle_part * backend.registered.slots)
		{
			continue;
		}
		const bool tried = _selection.tried.end() != std::find(_selection.tried.begin(),
		                                                 _selection.tried.end(), backend.registered.id.text);
		const double depth = 0 != _selection.affinity && 0 == i ? k_own_depth : 1.0;
		if (tried || !has_slot(backend, depth, _selection.portion, _now) ||
		    !has_connection(backend, _bounds, _sharing))
		{
			continue;
		}
		if (grant_cold(backend, _selection, _bounds.warmup_requests_per_s, _warmup, _now))
		{
			return order[i].backend;
		}
	}
	return nullptr;
}
} // namespace larkrack
