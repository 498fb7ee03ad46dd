// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/gate_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
/// AIMD increase of the concurrency limit: slots added per completed exchange. Larger uses a backend server
/// fully sooner after it shed a request, and makes it shed again sooner.
constexpr double k_limit_increase = 0.25;
/// AIMD decrease of the concurrency limit: factor applied for a shed request. Smaller relieves an overloaded
/// backend server more, and leaves more of its slots unused.
constexpr double k_limit_decrease = 0.5;
/// Shed requests within this time lower the limit only once, because they were sent under the same limit.
/// Longer reacts later to a persistent overload.
constexpr std::chrono::milliseconds k_shed_window{50};
/// Weight of the newest exchange in the moving average of latency, 0 to 1. Larger follows changes sooner and
/// reacts more to single slow exchanges.
constexpr double k_latency_weight = 0.1;
/// Age at which a load report has no weight any more; the weight decreases linearly. Longer trusts stale
/// reports.
constexpr std::chrono::seconds k_max_report_age{5};
/// Usable slots of a cold backend server at the start of its slow start. More warms the backend server sooner
/// and risks slow responses while its caches are empty.
constexpr int k_slow_start_slots = 1;
/// Assumed latency in microseconds that bounds the queue before the first exchange completes. Larger makes
/// the initial queue shorter.
constexpr double k_initial_latency_us = 100000.0;
} // namespace

gate::gate(const std::string& _chooser) : m_chooser(create_chooser(_chooser))
{
}

void gate::update(const std::vector<backend_grant>& _grants, double _max_share, steady_time _now)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	m_max_share = _max_share;
	for (auto& [name, pool] : m_pools)
	{
		pool.backends.clear();
	}
	std::map<std::string, backend_ptr> known;
	for (const backend_grant& grant : _grants)
	{
		backend_ptr& state = known[grant.name];
		const auto it = m_by_name.find(grant.name);
		state = m_by_name.end() == it ? std::make_shared<gate_backend>() : it->second;
		if (m_by_name.end() == it || state->grant.slots != grant.slots)
		{
			state->concurrency_limit = grant.slots;
			state->slow_start_limit = grant.slots;
		}
		state->grant = grant;
		m_pools[grant.service].backends.push_back(state);
	}
	for (const auto& [name, state] : m_by_name)
	{
		if (0 == known.count(name))
		{
			state->grant.owned = false;
		}
		// Requests still run there: the state is kept until the last ticket is released.
		if (0 == known.count(name) && 0 < state->running)
		{
			known[name] = state;
		}
	}
	m_by_name = std::move(known);
	for (auto& [name, pool] : m_pools)
	{
		serve_queue(pool, _now);
	}
}

int gate::usable(const gate_backend& _backend, steady_time _now) const
{
	if (!_backend.grant.owned || _backend.grant.drain || _now < _backend.grant.full_until)
	{
		return 0;
	}
	const int limit = std::max(1, static_cast<int>(std::floor(_backend.concurrency_limit)));
	return std::min({_backend.grant.slots, limit, _backend.slow_start_limit});
}

service_headroom gate::headroom_of(const pool& _pool, steady_time _now) const
{
	service_headroom sum;
	for (const backend_ptr& backend : _pool.backends)
	{
		sum.usable += usable(*backend, _now);
		sum.running += backend->running;
		sum.slots += backend->grant.slots;
		sum.cold += backend->slow_start_limit < backend->grant.slots ? 1 : 0;
	}
	sum.usable = std::min(sum.usable, static_cast<int>(std::floor(sum.slots * m_max_share + 1e-9)));
	sum.queued = static_cast<int>(_pool.queue.size());
	return sum;
}

std::optional<ticket> gate::take_slot(pool& _pool, steady_time _now)
{
	if (m_on_hold)
	{
		return std::nullopt;
	}
	const service_headroom available = headroom_of(_pool, _now);
	if (m_chooser->respects_slots() && 0 == available.free())
	{
		return std::nullopt;
	}
	std::vector<candidate> candidates;
	std::vector<backend_ptr> backends;
	for (const backend_ptr& backend : _pool.backends)
	{
		const int slots = usable(*backend, _now);
		if (0 == slots)
		{
			continue;
		}
		const double age = static_cast<double>((_now - backend->reported_at).count());
		const double fresh = std::max(
		    0.0, 1.0 - age / static_cast<double>(std::chrono::microseconds(k_max_report_age).count()));
		candidates.push_back({backend->running, slots, backend->reported * fresh, backend->latency_us});
		backends.push_back(backend);
	}
	const std::size_t chosen = candidates.empty() ? k_no_choice : m_chooser->choose(candidates);
	if (k_no_choice == chosen)
	{
		return std::nullopt;
	}
	++backends[chosen]->running;
	return ticket{backends[chosen], _now};
}

bool gate::enqueue(pool& _pool, const waiter_ptr& _waiter, int _limit)
{
	auto position = _pool.queue.end();
	while (_pool.queue.begin() != position)
	{
		const auto before = std::prev(position);
		if (_waiter->request.priority <= (*before)->request.priority)
		{
			break;
		}
		position = before;
	}
	if (_pool.queue.end() == position && _limit <= static_cast<int>(_pool.queue.size()))
	{
		return false;
	}
	_pool.queue.insert(position, _waiter);
	if (_limit < static_cast<int>(_pool.queue.size()))
	{
		// The last request of the lowest priority is refused at once, so that its caller can retry elsewhere.
		const waiter_ptr evicted = _pool.queue.back();
		_pool.queue.pop_back();
		evicted->removed = true;
		evicted->wake();
	}
	return true;
}

std::variant<ticket, waiter_ptr, reason> gate::admit(
    const admission& _request, std::function<void()> _wake, steady_time _now)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	const auto it = m_pools.find(_request.service);
	if (m_pools.end() == it || it->second.backends.empty())
	{
		return reason::no_backend;
	}
	pool& pool = it->second;
	if (pool.queue.empty())
	{
		std::optional<ticket> taken = take_slot(pool, _now);
		if (taken)
		{
			return *taken;
		}
	}
	if (_request.queue_until <= _now)
	{
		return reason::no_headroom;
	}
	const service_headroom available = headroom_of(pool, _now);
	// The queue may hold as many requests as can be served before this one times out (Little's law).
	const auto max_wait_us = static_cast<double>((_request.queue_until - _now).count());
	const int limit = static_cast<int>(std::ceil(available.usable * max_wait_us / mean_latency(pool)));
	auto queued = std::make_shared<waiter>();
	queued->request = _request;
	queued->wake = std::move(_wake);
	if (!enqueue(pool, queued, limit))
	{
		return reason::no_headroom;
	}
	return queued;
}

double gate::mean_latency(const pool& _pool)
{
	double sum = 0.0;
	int known = 0;
	for (const backend_ptr& backend : _pool.backends)
	{
		sum += backend->latency_us;
		known += 0.0 < backend->latency_us ? 1 : 0;
	}
	return 0 == known ? k_initial_latency_us : std::max(1.0, sum / known);
}

std::chrono::microseconds gate::expected_wait(const std::string& _service, steady_time _now) const
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	const auto it = m_pools.find(_service);
	const service_headroom available =
	    m_pools.end() == it ? service_headroom{} : headroom_of(it->second, _now);
	if (0 == available.usable)
	{
		return std::chrono::hours(1);
	}
	if (0 < available.free() && 0 == available.queued)
	{
		return std::chrono::microseconds(0);
	}
	const double us = (available.queued + 1) * mean_latency(it->second) / available.usable;
	return std::chrono::microseconds(static_cast<std::int64_t>(us));
}

std::optional<ticket> gate::leave_queue(const waiter_ptr& _waiter)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	if (_waiter->granted)
	{
		return _waiter->granted;
	}
	if (!_waiter->removed)
	{
		_waiter->removed = true;
		m_pools[_waiter->request.service].queue.remove(_waiter);
	}
	return std::nullopt;
}

void gate::serve_queue(pool& _pool, steady_time _now)
{
	while (!_pool.queue.empty())
	{
		const waiter_ptr next = _pool.queue.front();
		if (next->request.queue_until <= _now)
		{
			_pool.queue.pop_front();
			next->removed = true;
			next->wake();
			continue;
		}
		next->granted = take_slot(_pool, _now);
		if (!next->granted)
		{
			return;
		}
		_pool.queue.pop_front();
		next->wake();
	}
}

void gate::release(const ticket& _ticket, exchange_status _end, steady_time _now)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	gate_backend& backend = *_ticket.backend;
	if (exchange_status::shed == _end && k_shed_window <= _now - backend.shed_at)
	{
		backend.concurrency_limit = std::max(1.0, backend.concurrency_limit * k_limit_decrease);
		backend.shed_at = _now;
	}
	if (exchange_status::completed == _end)
	{
		const auto duration_us = static_cast<double>((_now - _ticket.started).count());
		backend.latency_us +=
		    (0.0 == backend.latency_us ? 1.0 : k_latency_weight) * (duration_us - backend.latency_us);
		backend.concurrency_limit =
		    std::min<double>(backend.grant.slots, backend.concurrency_limit + k_limit_increase);
		backend.slow_start_limit = std::min(backend.grant.slots, backend.slow_start_limit + 1);
		++backend.served;
	}
	if (exchange_status::may_still_run == _end)
	{
		return;
	}
	--backend.running;
	serve_queue(m_pools[backend.grant.service], _now);
}

void gate::confirm(const ticket& _ticket, steady_time _now)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	--_ticket.backend->running;
	serve_queue(m_pools[_ticket.backend->grant.service], _now);
}

void gate::report(const std::string& _backend, double _load, bool _cold, steady_time _now)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	const auto it = m_by_name.find(_backend);
	if (m_by_name.end() == it)
	{
		// The backend server was removed while its load page was read.
		return;
	}
	it->second->reported = std::clamp(_load, 0.0, 1.0);
	it->second->reported_at = _now;
	if (_cold && 0 == it->second->running)
	{
		it->second->slow_start_limit = std::min(it->second->slow_start_limit, k_slow_start_slots);
	}
}

void gate::tick(steady_time _now)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	for (auto& [name, pool] : m_pools)
	{
		serve_queue(pool, _now);
	}
}

std::map<std::string, service_headroom> gate::headroom(steady_time _now) const
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	std::map<std::string, service_headroom> all;
	for (const auto& [name, pool] : m_pools)
	{
		if (!pool.backends.empty())
		{
			all[name] = headroom_of(pool, _now);
		}
	}
	return all;
}

int gate::running(const std::string& _backend) const
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	const auto it = m_by_name.find(_backend);
	return m_by_name.end() == it ? 0 : it->second->running;
}

std::vector<gate_backend> gate::states() const
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	std::vector<gate_backend> all;
	for (const auto& [name, state] : m_by_name)
	{
		all.push_back(*state);
	}
	return all;
}

void gate::hold(bool _on_hold)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	m_on_hold = _on_hold;
}
} // namespace larkrack
