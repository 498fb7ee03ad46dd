// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/caller_identity_p.h"
#include "entry_node/forwarded_request_p.h"
#include "steering/request_times_p.h"

namespace larkrack
{
namespace
{
/// Minimum Retry-After of a caller above the quota, as a part of the time until the quota has tokens again.
/// With a lower value more callers retry too early.
constexpr double k_min_retry_spread = 0.5;
} // namespace

void forwarded_request::ask_quota()
{
	m_context.quotas.take(*m_customer,
	    [self = shared_from_this()](quota_answer _answer)
	    {
		    self->on_quota(_answer);
	    });
}

void forwarded_request::on_quota(quota_answer _answer)
{
	m_has_token = quota_answer::granted == _answer;
	if (state::ended == m_state)
	{
		give_token_back();
		return;
	}
	if (!key_still_valid())
	{
		refuse_key();
		return;
	}
	switch (_answer)
	{
	case quota_answer::granted:
		route_and_send();
		break;
	case quota_answer::over_limit:
		refuse_over_quota();
		break;
	case quota_answer::unknown:
	case quota_answer::waits:
		refuse(reason::quota_unknown);
		break;
	}
}

void forwarded_request::give_token_back()
{
	if (m_has_token && m_tried.empty())
	{
		m_context.quotas.return_token(*m_customer);
	}
	m_has_token = false;
}

std::optional<reason> forwarded_request::check_customer()
{
	const caller_identity identity = identify(m_request, *m_route, m_routes->customers(), m_context.names);
	if (key_check::refused == identity.check)
	{
		return reason::unknown_key;
	}
	m_customer = identity.holder;
	m_home_regions = nullptr == m_customer
	                     ? home_regions{m_route->home_regions, false}
	                     : intersect_home_regions(m_route->home_regions, m_customer->home_regions);
	return m_home_regions.none_left ? std::optional<reason>(reason::no_home) : std::nullopt;
}

bool forwarded_request::key_still_valid() const
{
	if (m_context.routes == m_routes || nullptr == m_customer)
	{
		return true;
	}
	const caller_identity now = identify(m_request, *m_route, m_context.routes->customers(), m_context.names);
	return key_check::refused != now.check;
}

void forwarded_request::refuse_key()
{
	respond(final_answer::fail(failure_status::unauthorized, outcome::not_run, reason::unknown_key));
}

void forwarded_request::refuse_over_quota()
{
	// A random part of the time, so that the callers of one customer do not all retry at once.
	const double part = std::uniform_real_distribution<double>(k_min_retry_spread, 1.0)(m_context.random);
	const double pause_s = part * m_context.quotas.quota_retry_delay_s(*m_customer);
	refuse(reason::over_quota, pause_s, refusal_status::too_many_requests);
}
} // namespace larkrack
