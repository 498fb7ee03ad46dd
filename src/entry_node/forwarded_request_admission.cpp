// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/caller_identity_p.h"
#include "entry_node/forwarded_request_p.h"
#include "steering/rendezvous_p.h"
#include "steering/request_times_p.h"

namespace larkrack
{
namespace
{
/// Maximum time for which a request waits while it is found out which path works, milliseconds. Longer: more
/// callers wait in vain. Shorter: requests are refused just before a relay is known.
constexpr std::chrono::milliseconds k_max_path_wait{600};
} // namespace

admission_verdict forwarded_request::admit()
{
	m_admission = m_owner.service_entry(m_service).admission.get();
	m_admission_request = make_admission_request();
	const admission_decision decision = m_admission->on_arrival(m_admission_request, admission_time());
	note_decision(decision);
	if (m_decision.returning)
	{
		m_context.exported_metrics.count_return();
	}
	if (admission_verdict::refused == decision.verdict)
	{
		refuse_by(decision);
	}
	return decision.verdict;
}

admission_request forwarded_request::make_admission_request() const
{
	admission_request request;
	request.number = m_number;
	request.rank.of_route = m_route->priority;
	if (nullptr == m_customer)
	{
		request.group.value = rendezvous_weight(m_context.domain.text, 0);
	}
	else
	{
		request.rank.of_customer = m_customer->priority;
		request.group.value = m_customer->id;
		request.weight = m_customer->limit.limited() ? m_customer->limit.per_s : 1.0;
	}
	request.route = rendezvous_weight(m_route->name, 0);
	request.region = m_region_choice.region;
	request.objective = m_route->objective;
	if (const std::optional<std::string_view> stated = stated_timeout(m_request, m_context.names))
	{
		request.stated_timeout = parse_timeout(*stated);
	}
	request.arrived_at = m_arrived_at;
	request.deadline = m_deadline;
	request.bytes = m_body ? m_body->size() : 0;
	return request;
}

steady_time forwarded_request::admission_time() const
{
	return m_admission->uses_conditions() ? m_context.clock.steady() : m_arrived_at;
}

void forwarded_request::join_queue()
{
	if (m_only_limited)
	{
		refuse(reason::no_headroom); // A free slot would not help: limits are used up.
		return;
	}
	if (rest_exceeds_wait())
	{
		refuse(reason::resting);
		return;
	}
	const bool examining = m_none_usable && m_context.exchanges.examining();
	if (m_none_usable && !examining)
	{
		refuse(m_history.unsent > 0 ? reason::unreachable : reason::no_backend); // No slot becomes free.
		return;
	}
	const steady_time now = admission_time();
	const admission_decision decision = m_admission->on_no_slot(m_admission_request, now);
	note_decision(decision);
	if (admission_verdict::refused == decision.verdict)
	{
		refuse_by(decision);
		return;
	}
	m_state = state::queued;
	m_queued_at = now;
	++m_context.counters.queued;
	steady_time::duration wait = decision.wait_until - now;
	if (examining)
	{
		wait = std::max<steady_time::duration>(wait, k_max_path_wait);
	}
	wait_until_over(wait);
}

void forwarded_request::wait_until_over(steady_time::duration _wait)
{
	m_wait_timer.expires_after(_wait);
	m_wait_timer.async_wait(
	    [self = shared_from_this()](beast::error_code _error)
	    {
		    if (!_error)
		    {
			    self->on_wait_over();
		    }
	    });
}

void forwarded_request::leave_queue()
{
	if (state::queued != m_state)
	{
		return;
	}
	m_wait_timer.cancel();
	m_admission->remove(m_admission_request);
	if (reports_admission())
	{
		m_waited = waited_time();
		m_context.exported_metrics.observe_wait(to_s(m_waited));
	}
}

void forwarded_request::on_wait_over()
{
	if (state::queued != m_state)
	{
		return;
	}
	const steady_time now = admission_time();
	const admission_decision decision = m_admission->on_wait_over(m_admission_request, now);
	note_decision(decision);
	if (admission_verdict::waits == decision.verdict)
	{
		wait_until_over(decision.wait_until - now);
		return;
	}
	if (m_none_usable && m_history.unsent > 0)
	{
		refuse(reason::unreachable);
		return;
	}
	refuse_by(decision);
}

void forwarded_request::note_decision(const admission_decision& _decision)
{
	const bool returning = m_decision.returning || _decision.returning;
	m_decision = _decision;
	m_decision.returning = returning;
}

bool forwarded_request::reports_admission() const
{
	return nullptr != m_admission && m_admission->uses_conditions();
}

steady_time::duration forwarded_request::waited_time() const
{
	return state::queued == m_state ? m_waited + (m_context.clock.steady() - m_queued_at) : m_waited;
}

void forwarded_request::describe_admission(log_line& _line) const
{
	if (!reports_admission())
	{
		return;
	}
	_line.number("waited_ms", to_ms(waited_time()).count())
	    .decimal("level", m_decision.level)
	    .decimal("share", m_decision.share)
	    .number("return", m_decision.returning ? 1 : 0);
	if (m_admission_request.region != m_region_choice.region)
	{
		_line.text("planned", m_admission_request.region.text);
	}
}

void forwarded_request::refuse_by(const admission_decision& _decision)
{
	if (reports_admission())
	{
		m_context.exported_metrics.count_refusal(
		    m_admission_request.rank.of_customer, m_admission_request.rank.of_route);
	}
	refuse(_decision.why, refusal_retry_after_s(_decision.retry_after_s));
}

void forwarded_request::note_attempt_end(attempt_end _end, double _service_time_s)
{
	if (attempt_end::served == _end || attempt_end::failed == _end)
	{
		m_admission_end.answered = true;
		m_admission_end.service_time_s = _service_time_s;
	}
	m_admission_end.rejected = m_admission_end.rejected || attempt_end::not_run == _end;
}

void forwarded_request::report_end()
{
	if (nullptr == m_admission)
	{
		return;
	}
	const bool running = m_exchange && m_exchange->sent();
	m_admission_end.sent = running || m_history.reached > 0;
	const bool may_have_run = running || m_admission_end.answered || m_history.may_have_run;
	m_admission_end.rejected = m_admission_end.rejected && !may_have_run;
	m_admission->on_end(m_admission_request, m_admission_end, admission_time());
}
} // namespace larkrack
