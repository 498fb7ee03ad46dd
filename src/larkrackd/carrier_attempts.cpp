// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Attempts of one request: the entry VM that each attempt goes to, the wait for a slot, and the decision to
/// retry or to stop. Relies on the gate for slots, on the retry token bucket for retries, and on the
/// request's traffic_view for the headroom of entry VMs.
#include "larkrackd/carrier_p.h"

#include "larkrack/config.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Maximum number of attempts of one request at this entry VM. More serves requests that another entry VM can
/// serve, and adds load from requests that no entry VM can serve.
constexpr int k_max_attempts = 3;
/// Maximum expected wait for which a request queues here instead of being relayed, which costs a hop. With
/// this limit 4.6% of requests were relayed instead of 12.2%.
constexpr std::chrono::milliseconds k_max_local_wait{10};
/// Part of the deadline that is reserved for returning the response.
constexpr std::chrono::milliseconds k_response_reserve{5};
/// Weight of a usable slot of a full entry VM, relative to a free slot of others. A full entry VM still gets
/// a few requests, because its reported headroom may be outdated.
constexpr double k_full_vm_weight = 1e-3;

/// @returns Whether another attempt may succeed. A refusal by the cap is final: every entry VM has the same
/// cap.
bool may_retry(const proxied_result& _end)
{
	return _end.may_retry && reason::cap != _end.why;
}

/// @returns A random entry VM, with a probability proportional to its weight; invalid when all weights are 0.
entry_vm_handle pick_weighted(const std::vector<double>& _weights, std::mt19937_64& _random)
{
	double sum = 0.0;
	for (const double weight : _weights)
	{
		sum += weight;
	}
	if (sum <= 0.0)
	{
		return {};
	}
	double left = std::uniform_real_distribution<double>(0.0, sum)(_random);
	entry_vm_handle last;
	for (std::size_t at = 0; at < _weights.size(); ++at)
	{
		if (0.0 < _weights[at])
		{
			last = {static_cast<std::uint16_t>(at)};
			left -= _weights[at];
			if (left < 0.0)
			{
				break;
			}
		}
	}
	return last;
}
} // namespace

proxied_result carrier::serve(http_session& _session, proxied_request& _call, const yield_context& _yield)
{
	m_budget.earn();
	std::vector<bool> tried(_call.view->rules->entry_vms.size(), false);
	const std::string id = _call.id;
	bool may_have_run = false;
	proxied_result end;
	for (int attempt = 0; attempt < k_max_attempts; ++attempt)
	{
		if (0 < attempt)
		{
			// A backend server that was told to cancel the previous attempt would refuse its id.
			_call.id = id + "." + std::to_string(attempt);
			m_metrics.count_retry();
		}
		end = attempt_once(_session, _call, tried, _yield);
		const bool lost = outcome::unknown == end.result && _call.repeatable && !end.answered &&
		                  reason::lost_answer == end.why;
		may_have_run = may_have_run || lost;
		if (!(may_retry(end) || lost) || request_origin::for_slot == _call.origin ||
		    _call.deadline <= m_clock.steady())
		{
			break;
		}
		// An attempt that found no backend server put no load on any, so the retry does not cost a token.
		if (reason::no_backend != end.why && !m_budget.spend())
		{
			break;
		}
	}
	if (may_have_run && outcome::not_run == end.result)
	{
		// The last attempt was refused, but an earlier one may have run.
		end = unknown_result(reason::lost_answer);
	}
	return end;
}

proxied_result carrier::attempt_once(
    http_session& _session, proxied_request& _call, std::vector<bool>& _tried, const yield_context& _yield)
{
	if (request_origin::for_slot == _call.origin)
	{
		return serve_locally(_session, _call, k_max_queue_wait, _yield);
	}
	const region_handle region = region_for(*_call.view, _call.service, _call.caller);
	if (!is_valid(region))
	{
		return refused_result(reason::cap, false);
	}
	const entry_vm_handle self = _call.view->self;
	const bool is_local = can_serve_locally(_call, region) && !_tried[self.idx];
	const auto wait =
	    is_local ? m_gate.expected_wait(_call.service_name, m_clock.steady()) : std::chrono::microseconds(0);
	const entry_vm_handle other =
	    is_local && wait <= k_max_local_wait ? entry_vm_handle{} : pick_peer(_call, region, _tried);
	if (!is_valid(other))
	{
		if (!is_local)
		{
			return refused_result(reason::no_headroom, false);
		}
		_tried[self.idx] = true;
		return serve_locally(_session, _call, k_max_queue_wait, _yield);
	}
	_tried[other.idx] = true;
	return exchange_peer(_session, _call, other, request_origin::for_slot, _yield);
}

bool carrier::can_serve_locally(const proxied_request& _call, region_handle _region) const
{
	const traffic_view& view = *_call.view;
	return is_valid(view.self) && view.region == _region && !view.stopping &&
	       0 < view.peers[view.self.idx].rooms[_call.service.idx].usable;
}

entry_vm_handle carrier::pick_peer(
    const proxied_request& _call, region_handle _region, const std::vector<bool>& _tried)
{
	const traffic_view& view = *_call.view;
	std::vector<double> weights(view.peers.size(), 0.0);
	const bool is_local = can_serve_locally(_call, _region);
	for (std::size_t at = 0; at < view.peers.size(); ++at)
	{
		const entry_vm_handle vm{static_cast<std::uint16_t>(at)};
		const peer_view& peer = view.peers[at];
		const bool fits = vm != view.self && peer.alive && !peer.leaving && !_tried[at] &&
		                  view.rules->region_of(vm) == _region;
		const service_headroom& room = peer.rooms[_call.service.idx];
		if (fits && 0 < room.usable)
		{
			weights[at] = room.free() + (is_local ? 0.0 : k_full_vm_weight * room.usable);
		}
	}
	return pick_weighted(weights, m_random);
}

std::variant<ticket, reason> carrier::enter(
    const proxied_request& _call, std::chrono::microseconds _wait, const yield_context& _yield)
{
	const steady_time now = m_clock.steady();
	const auto wait = std::min<std::chrono::microseconds>(_wait, _call.deadline - k_response_reserve - now);
	auto timer = std::make_shared<asio::steady_timer>(m_context, now + wait);
	const auto wake = [timer, &context = m_context]
	{
		asio::post(context,
		    [timer]
		    {
			    timer->cancel();
		    });
	};
	std::variant<ticket, waiter_ptr, reason> admitted =
	    m_gate.admit({_call.service_name, _call.priority, now + wait}, wake, now);
	if (const ticket* got = std::get_if<ticket>(&admitted))
	{
		return *got;
	}
	if (const reason* why = std::get_if<reason>(&admitted))
	{
		return *why;
	}
	const waiter_ptr& queued = std::get<waiter_ptr>(admitted);
	// The error code does not matter: the queue entry shows whether a slot was granted.
	boost::system::error_code ignored;
	timer->async_wait(_yield[ignored]);
	const std::optional<ticket> got = m_gate.leave_queue(queued);
	if (got)
	{
		return *got;
	}
	return reason::no_headroom;
}

proxied_result carrier::serve_locally(http_session& _session, proxied_request& _call,
    std::chrono::microseconds _wait, const yield_context& _yield)
{
	if (_call.deadline <= m_clock.steady() + k_response_reserve)
	{
		return refused_result(reason::deadline, false);
	}
	const std::variant<ticket, reason> entered = enter(_call, _wait, _yield);
	if (const reason* why = std::get_if<reason>(&entered))
	{
		return refused_result(*why);
	}
	return exchange_backend(_session, _call, std::get<ticket>(entered), _yield);
}
} // namespace larkrack
