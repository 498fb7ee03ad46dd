// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The decisions about one request: to which entry VM each try goes, how long it waits for a slot, and when
/// it gives up. The part of the carrier between a request and its exchanges.
#include "larkrackd/carrier_p.h"

#include "larkrack/config.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Tries of one request at this entry VM: requests that a second entry VM can serve, against load from
/// requests that nobody can. Not measured.
constexpr int k_tries = 3;
/// A request rather waits here for so long than goes on to another entry VM, which costs a hop. Commit
/// 4588dde: 4.6% of requests relayed instead of 12.2%.
constexpr std::chrono::milliseconds k_wait_rather{10};
/// What is left of a deadline for the way back. Not measured.
constexpr std::chrono::milliseconds k_way_back{5};
/// Weight of a full entry VM's usable slot against a free slot of others. It still gets a few, for what is
/// heard of it is old. Not measured.
constexpr double k_full_weight = 1e-3;

/// @returns Whether another try may end better. Every entry VM has the same cap.
bool may_try_again(const carried_end& _end)
{
	return _end.may_try_again && reason::cap != _end.why;
}

/// @returns One of the entry VMs by chance, as its weight is; none when no weight is above 0.
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

carried_end carrier::serve(http_session& _session, carried& _call, const yield_context& _yield)
{
	m_budget.earn();
	std::vector<bool> tried(_call.view->rules->entry_vms.size(), false);
	const std::string id = _call.id;
	bool may_have_run = false;
	carried_end end;
	for (int attempt = 0; attempt < k_tries; ++attempt)
	{
		if (0 < attempt)
		{
			// A backend server that was told to cancel the former try would refuse its id.
			_call.id = id + "." + std::to_string(attempt);
			m_metrics.count_retry();
		}
		end = try_once(_session, _call, tried, _yield);
		const bool lost = outcome::unknown == end.result && _call.repeatable && !end.answered &&
		                  reason::lost_answer == end.why;
		may_have_run = may_have_run || lost;
		if (!(may_try_again(end) || lost) || request_origin::for_slot == _call.origin ||
		    _call.deadline <= m_clock.steady())
		{
			break;
		}
		// A refusal for want of a backend server put no load on any, so the next try is not paid for.
		if (reason::no_backend != end.why && !m_budget.spend())
		{
			break;
		}
	}
	if (may_have_run && outcome::not_run == end.result)
	{
		// The last try was refused, but one before it may have run.
		end = not_known(reason::lost_answer);
	}
	return end;
}

carried_end carrier::try_once(
    http_session& _session, carried& _call, std::vector<bool>& _tried, const yield_context& _yield)
{
	if (request_origin::for_slot == _call.origin)
	{
		return serve_here(_session, _call, k_queue_wait, _yield);
	}
	const region_handle region = region_for(*_call.view, _call.service, _call.caller);
	if (!is_valid(region))
	{
		return refused(reason::cap, false);
	}
	const entry_vm_handle self = _call.view->self;
	const bool here = may_serve_here(_call, region) && !_tried[self.idx];
	const auto wait =
	    here ? m_gate.expected_wait(_call.service_name, m_clock.steady()) : std::chrono::microseconds(0);
	const entry_vm_handle other =
	    here && wait <= k_wait_rather ? entry_vm_handle{} : pick_other(_call, region, _tried);
	if (!is_valid(other))
	{
		if (!here)
		{
			return refused(reason::no_headroom, false);
		}
		_tried[self.idx] = true;
		return serve_here(_session, _call, k_queue_wait, _yield);
	}
	_tried[other.idx] = true;
	return exchange_peer(_session, _call, other, request_origin::for_slot, _yield);
}

bool carrier::may_serve_here(const carried& _call, region_handle _region) const
{
	const traffic_view& view = *_call.view;
	return is_valid(view.self) && view.region == _region && !view.stopping &&
	       0 < view.peers[view.self.idx].rooms[_call.service.idx].usable;
}

entry_vm_handle carrier::pick_other(
    const carried& _call, region_handle _region, const std::vector<bool>& _tried)
{
	const traffic_view& view = *_call.view;
	std::vector<double> weights(view.peers.size(), 0.0);
	const bool here = may_serve_here(_call, _region);
	for (std::size_t at = 0; at < view.peers.size(); ++at)
	{
		const entry_vm_handle vm{static_cast<std::uint16_t>(at)};
		const peer_view& peer = view.peers[at];
		const bool fits = vm != view.self && peer.alive && !peer.leaving && !_tried[at] &&
		                  view.rules->region_of(vm) == _region;
		const service_headroom& room = peer.rooms[_call.service.idx];
		if (fits && 0 < room.usable)
		{
			weights[at] = room.free() + (here ? 0.0 : k_full_weight * room.usable);
		}
	}
	return pick_weighted(weights, m_random);
}

std::variant<ticket, reason> carrier::enter(
    const carried& _call, std::chrono::microseconds _wait, const yield_context& _yield)
{
	const steady_time now = m_clock.steady();
	const auto wait = std::min<std::chrono::microseconds>(_wait, _call.deadline - k_way_back - now);
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
	const waiter_ptr& place = std::get<waiter_ptr>(admitted);
	// Whether the timer ran out or was cancelled shows in the place.
	boost::system::error_code ignored;
	timer->async_wait(_yield[ignored]);
	const std::optional<ticket> got = m_gate.give_up(place);
	if (got)
	{
		return *got;
	}
	return reason::no_headroom;
}

carried_end carrier::serve_here(
    http_session& _session, carried& _call, std::chrono::microseconds _wait, const yield_context& _yield)
{
	if (_call.deadline <= m_clock.steady() + k_way_back)
	{
		return refused(reason::deadline, false);
	}
	const std::variant<ticket, reason> entered = enter(_call, _wait, _yield);
	if (const reason* why = std::get_if<reason>(&entered))
	{
		return refused(*why);
	}
	return exchange_backend(_session, _call, std::get<ticket>(entered), _yield);
}
} // namespace larkrack
