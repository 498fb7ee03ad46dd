// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Requests with a key run at most once: the entry VM that the key's grant names, or the one that the key
/// hashes to, remembers what became of it. The part of the carrier that finds this entry VM and asks its
/// memory.
#include "larkrackd/carrier_p.h"

#include "larkrack/config.h"

namespace larkrack
{
namespace
{
/// @returns The end of a request whose key nobody remembers any more. What an earlier try with this key may
/// have done is not known here, unless the caller says there was none.
carried_end without_memory(const carried& _call, reason _reason)
{
	return _call.first_try ? refused(_reason, false) : not_known(_reason);
}

/// @returns Whether this entry VM's memory holds every earlier try with the key.
bool remembers(const carried& _call, incarnation _life_of_key, wall_time _now)
{
	const traffic_view& view = *_call.view;
	if (is_granted_key(_call.key))
	{
		return _life_of_key == view.life;
	}
	// A bare key may have been run by a former process here, until the longest life of a key is over.
	const auto key_life = static_cast<std::uint64_t>(std::chrono::microseconds(k_grant_life).count());
	const bool old_enough = view.life.value + key_life < static_cast<std::uint64_t>(to_us(_now));
	return view.first_life || _call.first_try || old_enough;
}
} // namespace

std::variant<carrier::key_place, carried_end> carrier::place_of_key(const carried& _call) const
{
	const policy& rules = *_call.view->rules;
	key_place place;
	if (!is_granted_key(_call.key))
	{
		place.owner = key_owner(rules, _call.key);
		place.life = is_valid(place.owner) ? _call.view->peers[place.owner.idx].life : place.life;
		place.forget_at = m_clock.steady() + k_grant_life;
		return place;
	}
	result<grant> read = m_signer.read(_call.key);
	const grant* given = value_of(read);
	if (nullptr == given || given->service != _call.service_name)
	{
		return refused(reason::bad_grant, false);
	}
	const auto left = given->expires - m_clock.wall();
	if (left <= std::chrono::microseconds(0))
	{
		return without_memory(_call, reason::bad_grant);
	}
	place.owner = rules.find_entry_vm(given->entry_vm);
	place.life = given->life;
	place.forget_at = m_clock.steady() + left + k_clock_skew;
	return place;
}

carried_end carrier::carry_keyed(http_session& _session, carried& _call, const yield_context& _yield)
{
	const std::variant<key_place, carried_end> found = place_of_key(_call);
	if (const carried_end* end = std::get_if<carried_end>(&found))
	{
		return *end;
	}
	const key_place& place = std::get<key_place>(found);
	if (!is_valid(place.owner))
	{
		return without_memory(_call, reason::owner_gone);
	}
	if (place.owner == _call.view->self)
	{
		if (!remembers(_call, place.life, m_clock.wall()))
		{
			return without_memory(_call, reason::owner_gone);
		}
		return run_keyed(_session, _call, place.forget_at, _yield);
	}
	if (request_origin::for_key == _call.origin)
	{
		return without_memory(_call, reason::owner_gone);
	}
	carried_end end = exchange_peer(_session, _call, place.owner, request_origin::for_key, _yield);
	if (outcome::not_run == end.result && reason::unreachable == end.why)
	{
		return without_memory(_call, reason::owner_gone);
	}
	return end;
}

carried_end carrier::run_keyed(
    http_session& _session, carried& _call, steady_time _forget_at, const yield_context& _yield)
{
	auto timer = std::make_shared<asio::steady_timer>(m_context, _call.deadline);
	auto answer = std::make_shared<kept_ptr>();
	const key_verdict verdict = m_keys.begin(
	    _call.key, _forget_at,
	    [timer, answer, &context = m_context](const kept_ptr& _answer)
	    {
		    asio::post(context,
		        [timer, answer, _answer]
		        {
			        *answer = _answer;
			        timer->cancel();
		        });
	    },
	    m_clock.steady());
	switch (verdict.does)
	{
	case key_verdict::what::full:
		return refused(reason::no_headroom, false);
	case key_verdict::what::wait:
		return wait_for_key(answer, timer, _yield);
	case key_verdict::what::kept:
		*answer = verdict.answer;
		return wait_for_key(answer, nullptr, _yield);
	case key_verdict::what::run:
		break;
	}
	carried_end end = serve(_session, _call, _yield);
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

carried_end carrier::wait_for_key(const std::shared_ptr<kept_ptr>& _answer,
    const std::shared_ptr<asio::steady_timer>& _timer, const yield_context& _yield)
{
	if (_timer && !*_answer)
	{
		// Whether the timer ran out or was cancelled shows in the answer.
		boost::system::error_code ignored;
		_timer->async_wait(_yield[ignored]);
	}
	if (!*_answer)
	{
		return not_known(reason::in_flight_too_long);
	}
	const kept_response& kept = **_answer;
	carried_end end;
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
