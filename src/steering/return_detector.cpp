// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/return_detector_p.h"

#include "steering/request_times_p.h"

#include <algorithm>

namespace larkrack
{
void return_detector::count(std::uint64_t _route, std::optional<std::chrono::milliseconds> _stated)
{
	if (!_stated || _stated->count() <= 0)
	{
		return;
	}
	const auto stated_ms = static_cast<std::int32_t>(std::min(*_stated, k_max_stated_timeout).count());
	route_timeouts& known = route(_route);
	known.used_at = ++m_requests;
	known.seen = std::min(known.seen + 1, k_min_timeout_requests);
	if (k_halve_timeouts_at <= known.counted)
	{
		halve(known);
	}
	auto it = std::find_if(known.counts.begin(), known.counts.end(),
	    [stated_ms](const timeout_count& _count)
	    {
		    return stated_ms == _count.stated_ms;
	    });
	if (known.counts.end() == it)
	{
		it = std::min_element(known.counts.begin(), known.counts.end(),
		    [](const timeout_count& _a, const timeout_count& _b)
		    {
			    return _a.requests < _b.requests;
		    });
	}
	it->stated_ms = stated_ms;
	++it->requests;
	++known.counted;
}

std::chrono::milliseconds return_detector::used_up(
    std::uint64_t _route, std::optional<std::chrono::milliseconds> _stated) const
{
	const auto it = m_routes.find(_route);
	if (!_stated || m_routes.end() == it || it->second.seen < k_min_timeout_requests)
	{
		return std::chrono::milliseconds(0);
	}
	const double min_requests = k_common_fraction * it->second.counted;
	std::int64_t usual_ms = 0;
	for (const timeout_count& one : it->second.counts)
	{
		const bool candidate = one.requests >= min_requests && one.stated_ms >= _stated->count();
		if (candidate && (0 == usual_ms || one.stated_ms < usual_ms))
		{
			usual_ms = one.stated_ms;
		}
	}
	return std::chrono::milliseconds(0 == usual_ms ? 0 : usual_ms - _stated->count());
}

caller_history return_detector::judge(std::chrono::milliseconds _used_up, double _shortest_retry_s)
{
	caller_history history;
	history.used_up = _used_up;
	if (_used_up.count() <= 0)
	{
		return history;
	}
	const double used_up_s = std::chrono::duration<double>(_used_up).count();
	history.returning = used_up_s >= std::max(_shortest_retry_s, k_retry_after_min_s);
	history.early = !history.returning;
	return history;
}

return_detector::route_timeouts& return_detector::route(std::uint64_t _route)
{
	const auto it = m_routes.find(_route);
	if (m_routes.end() != it)
	{
		return it->second;
	}
	if (k_max_timeout_routes <= m_routes.size())
	{
		evict_oldest();
	}
	return m_routes[_route];
}

void return_detector::evict_oldest()
{
	const auto oldest = std::min_element(m_routes.begin(), m_routes.end(),
	    [](const auto& _a, const auto& _b)
	    {
		    return _a.second.used_at < _b.second.used_at;
	    });
	m_routes.erase(oldest);
}

void return_detector::halve(route_timeouts& _route)
{
	_route.counted = 0;
	for (timeout_count& one : _route.counts)
	{
		one.requests /= 2;
		_route.counted += one.requests;
	}
}
} // namespace larkrack
