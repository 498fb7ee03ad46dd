// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Requests with an idempotency key, which run at most once: the entry VM that the grant in the key names, or
/// to which a key without a grant hashes, stores the result of the key. This file locates that entry VM and
/// relays the request to it, or runs the request here. Relies on key_table for stored results and on
/// relay_mark for the signature of relayed requests.
#include "larkrackd/carrier_p.h"

#include "larkrack/config.h"

namespace larkrack
{
namespace
{
/// @returns The result of a request whose key is no longer stored anywhere. The outcome of an earlier attempt
/// is unknown, unless the caller declares that this is the first attempt.
proxied_result key_lost_result(const proxied_request& _call, reason _reason)
{
	return _call.first_try ? refused_result(_reason, false) : unknown_result(_reason);
}

/// @returns Whether the key table of this entry VM contains every earlier attempt with the key.
bool has_all_attempts(const proxied_request& _call, incarnation _key_incarnation, wall_time _now)
{
	const traffic_view& view = *_call.view;
	if (is_granted_key(_call.key))
	{
		return _key_incarnation == view.life;
	}
	// An earlier incarnation of this entry VM may have run a key without a grant. Such a key has expired once
	// this incarnation is older than the maximum lifetime of a key.
	const auto key_life = static_cast<std::uint64_t>(std::chrono::microseconds(k_grant_lifetime).count());
	const bool old_enough = view.life.value + key_life < static_cast<std::uint64_t>(to_us(_now));
	return view.is_first_incarnation || _call.first_try || old_enough;
}
} // namespace

std::variant<carrier::key_location, proxied_result> carrier::locate_key(const proxied_request& _call) const
{
	const policy& rules = *_call.view->rules;
	key_location place;
	if (!is_granted_key(_call.key))
	{
		place.owner = key_owner(rules, _call.key);
		place.life = is_valid(place.owner) ? _call.view->peers[place.owner.idx].life : place.life;
		place.forget_at = m_clock.steady() + k_grant_lifetime;
		return place;
	}
	result<grant> read = m_signer.read(_call.key);
	const grant* given = value_of(read);
	if (nullptr == given || given->service != _call.service_name)
	{
		return refused_result(reason::bad_grant, false);
	}
	const auto left = given->expires - m_clock.wall();
	if (left <= std::chrono::microseconds(0))
	{
		return key_lost_result(_call, reason::bad_grant);
	}
	place.owner = rules.find_entry_vm(given->entry_vm);
	place.life = given->life;
	place.forget_at = m_clock.steady() + left + k_clock_skew;
	return place;
}

proxied_result carrier::handle_keyed(
    http_session& _session, proxied_request& _call, const yield_context& _yield)
{
	const std::variant<key_location, proxied_result> found = locate_key(_call);
	if (const proxied_result* end = std::get_if<proxied_result>(&found))
	{
		return *end;
	}
	const key_location& place = std::get<key_location>(found);
	if (!is_valid(place.owner))
	{
		return key_lost_result(_call, reason::owner_gone);
	}
	if (place.owner == _call.view->self)
	{
		if (!has_all_attempts(_call, place.life, m_clock.wall()))
		{
			return key_lost_result(_call, reason::owner_gone);
		}
		return run_once(_session, _call, place.forget_at, _yield);
	}
	if (request_origin::for_key == _call.origin)
	{
		return key_lost_result(_call, reason::owner_gone);
	}
	proxied_result end = exchange_peer(_session, _call, place.owner, request_origin::for_key, _yield);
	if (outcome::not_run == end.result && reason::unreachable == end.why)
	{
		return key_lost_result(_call, reason::owner_gone);
	}
	return end;
}

proxied_result carrier::run_once(
    http_session& _session, proxied_request& _call, steady_time _forget_at, const yield_context& _yield)
{
	auto timer = std::make_shared<asio::steady_timer>(m_context, _call.deadline);
	auto answer = std::make_shared<kept_answer_ptr>();
	const key_decision decision = m_keys.begin(
	    _call.key, _forget_at,
	    [timer, answer, &context = m_context](const kept_answer_ptr& _answer)
	    {
		    asio::post(context,
		        [timer, answer, _answer]
		        {
			        *answer = _answer;
			        timer->cancel();
		        });
	    },
	    m_clock.steady());
	switch (decision.next)
	{
	case key_decision::action::full:
		return refused_result(reason::no_headroom, false);
	case key_decision::action::wait:
		return wait_for_key(answer, timer, _yield);
	case key_decision::action::kept:
		*answer = decision.answer;
		return wait_for_key(answer, nullptr, _yield);
	case key_decision::action::run:
		break;
	}
	proxied_result end = serve(_session, _call, _yield);
	kept_response kept;
	kept.result = end.result;
	kept.why = end.why;
	kept.status = end.status;
	kept.backend = end.backend;
	kept.content_type = end.content_type;
	kept.body = end.body;
	kept.body_kept = end.body_kept;
	m_keys.finish(_call.key, kept);
	return end;
}

proxied_result carrier::wait_for_key(const std::shared_ptr<kept_answer_ptr>& _answer,
    const std::shared_ptr<asio::steady_timer>& _timer, const yield_context& _yield)
{
	if (_timer && !*_answer)
	{
		// The error code does not matter: *_answer shows whether the answer arrived before the deadline.
		boost::system::error_code ignored;
		_timer->async_wait(_yield[ignored]);
	}
	if (!*_answer)
	{
		return unknown_result(reason::in_flight_too_long);
	}
	const kept_response& kept = **_answer;
	proxied_result end;
	end.result = kept.result;
	end.why = kept.why;
	end.status = kept.status;
	end.backend = kept.backend;
	end.content_type = kept.content_type;
	end.body = kept.body;
	end.body_kept = kept.body_kept;
	return end;
}
} // namespace larkrack
