// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/forwarded_request_p.h"

#include "entry_node/caller_identity_p.h"
#include "entry_node/upstream_request_bytes_p.h"
#include "steering/request_times_p.h"

namespace larkrack
{
namespace
{
/// @returns When the headers of the request of a session arrived: its caller waits since then.
steady_time arrival_of(request_context& _context, const caller_session& _session)
{
	const steady_time now = _context.clock.steady();
	const auto body_time = std::chrono::duration_cast<steady_time::duration>(_session.body_time());
	return std::min(_context.gap.arrival(now), now - body_time);
}
} // namespace

forwarded_request::forwarded_request(request_context& _context, request_owner_base& _owner,
    request_number _number, std::shared_ptr<caller_session> _session, caller_request&& _request)
    : m_context(_context), m_owner(_owner), m_number(_number), m_session(std::move(_session)),
      m_request(std::move(_request)), m_body(m_session->hold_body(std::move(m_request.body()))),
      m_request_id(m_request[_context.names.request_id]), m_routes(_context.routes),
      m_arrived_at(arrival_of(_context, *m_session)), m_stalled_before(_context.gap.total()),
      m_deadline_timer(_context.io), m_wait_timer(_context.io)
{
}

void forwarded_request::start()
{
	m_session->set_disconnect_handler(
	    [self = shared_from_this()]
	    {
		    self->on_caller_left();
	    });
	if (!m_routes)
	{
		refuse(reason::no_configuration);
		return;
	}
	m_route = find_route(m_request, *m_routes);
	if (nullptr == m_route)
	{
		respond(final_answer::fail(failure_status::not_found, outcome::not_run, reason::unknown_service));
		return;
	}
	m_deadline = m_arrived_at + timeout_of(m_request, m_route, m_context.names);
	const std::optional<reason> refused = check_customer();
	if (reason::unknown_key == refused)
	{
		refuse_key();
		return;
	}
	if (refused)
	{
		refuse(*refused);
		return;
	}
	if (nullptr != m_customer && m_customer->limit.limited())
	{
		ask_quota();
		return;
	}
	route_and_send();
}

bool forwarded_request::too_late_to_stop() const
{
	return m_context.stop && !m_owner.takes(*m_route, m_deadline - m_context.clock.steady());
}

void forwarded_request::refuse_as_stopping()
{
	const bool others_serve = m_context.fleet.live_nodes().live > 1.0;
	refuse(reason::stopping, others_serve ? 0.0 : retry_after_s(m_context.random));
}

void forwarded_request::route_and_send()
{
	if (too_late_to_stop())
	{
		refuse_as_stopping();
		return;
	}
	select_service_and_region();
	if (!end_if_deadline_over() && !handle_if_blocked())
	{
		send_or_enqueue();
	}
}

void forwarded_request::send_or_enqueue()
{
	const admission_verdict verdict = nullptr == m_admission ? admit() : admission_verdict::admitted;
	if (admission_verdict::refused == verdict)
	{
		return;
	}
	if (admission_verdict::waits == verdict || !try_send())
	{
		join_queue();
	}
}

void forwarded_request::select_service_and_region()
{
	const std::vector<route_target>& targets = m_route->targets;
	const route_target& target =
	    1 == targets.size() ? targets.front() : m_owner.split_for(*m_route).next(targets);
	m_service = service_name(target.service);
	m_key = key_of_request();
	m_versions = m_context.rollouts.rule_for(m_service, affinity_position(m_key, m_context.random));
	service_steering& steering = m_owner.service_entry(m_service).steering;
	if (1 == m_home_regions.regions.size())
	{
		steering.count_pinned(region_name(m_home_regions.regions.front()));
	}
	else
	{
		steering.demand.count_arrival();
	}
	steering.keys.count(m_key);
	steering.retries.earn(m_arrived_at);
	m_region_choice = choose_region(
	    m_key, *m_route, m_context.region, m_context.distances, steering.shares, m_context.random);
	m_deadline_timer.expires_after(m_deadline - m_context.clock.steady());
	m_deadline_timer.async_wait(
	    [self = shared_from_this()](beast::error_code _error)
	    {
		    if (!_error)
		    {
			    self->on_deadline();
		    }
	    });
}

affinity_key forwarded_request::key_of_request() const
{
	if (!m_route->sticky)
	{
		return {};
	}
	return make_affinity_key(cookie_value(m_request, m_context.names.affinity_cookie), m_route->path_prefix);
}

bool forwarded_request::end_if_deadline_over()
{
	if (m_context.clock.steady() < m_deadline)
	{
		return false;
	}
	finish_with(response_at_deadline(m_history, false));
	return true;
}

void forwarded_request::on_deadline()
{
	if (state::ended != m_state)
	{
		const bool sent = m_exchange && m_exchange->sent();
		if (sent)
		{
			m_owner.times_of(*m_route).add(m_context.clock.steady() - m_arrived_at);
			report_attempt(*m_exchange->backend(), attempt_end::lost);
		}
		finish_with(response_at_deadline(m_history, sent));
	}
}

void forwarded_request::on_caller_left()
{
	if (state::ended == m_state)
	{
		return;
	}
	++m_context.counters.disconnected;
	log_end(0, outcome::unknown, reason::none, std::nullopt);
	release();
}

void forwarded_request::refuse(reason _reason)
{
	refuse(_reason, refusal_retry_after_s(retry_after_s(m_context.random)));
}

void forwarded_request::refuse(reason _reason, double _retry_after_s, refusal_status _status)
{
	const std::optional<not_run_proof> proof = not_run_proof::of_attempts(m_history, under_way());
	if (!proof)
	{
		finish_with(response_without_proof(m_history, _reason));
		return;
	}
	respond(final_answer::refuse(*proof, _status, _retry_after_s, _reason));
}

double forwarded_request::refusal_retry_after_s(double _default_s) const
{
	if (!m_only_resting)
	{
		return _default_s;
	}
	return retry_after_rest_s(to_s(m_first_return_at - m_context.clock.steady()), _default_s);
}

void forwarded_request::finish_with(const final_response& _end)
{
	if (_end.kept_response)
	{
		respond(final_answer::forward(std::move(*m_kept_response), m_kept_framing, m_route->repeat));
		return;
	}
	if (outcome::unknown == _end.end)
	{
		const bool at_deadline = k_status_unknown_deadline == _end.status;
		respond(final_answer::fail(
		    at_deadline ? failure_status::gateway_timeout : failure_status::bad_gateway, _end.end, _end.why));
		return;
	}
	refuse(_end.why);
}

void forwarded_request::respond(final_answer&& _answer)
{
	log_end(_answer.status(), _answer.end(), _answer.why(), _answer.evidence());
	m_context.exported_metrics.count_outcome(m_service.text, _answer.end(), _answer.why());
	const steady_time now = m_context.clock.steady();
	if (promises_not_run(_answer.status()))
	{
		m_context.exchanges.promises().record(m_request_id, _answer.status(), now);
	}
	const steady_time::duration taken = now - m_arrived_at;
	m_context.exported_metrics.observe_request_time(to_s(taken));
	const bool has_objective = nullptr != m_route && m_route->objective.count() > 0;
	if (has_objective && outcome::served == _answer.end() && taken > m_route->objective)
	{
		++m_context.counters.late_answers;
	}
	const std::shared_ptr<caller_session> session = m_session;
	release();
	session->respond(_answer.take_response(), _answer.framing());
}

void forwarded_request::log_end(
    unsigned _status, outcome _outcome, reason _reason, std::optional<not_run_evidence> _evidence)
{
	if (outcome::served == _outcome && !promises_not_run(_status) && !entry_log::sampled(m_request_id))
	{
		return;
	}
	log_line line(event::request_ended);
	line.text("id", m_request_id)
	    .text("route", nullptr == m_route ? "" : m_route->name)
	    .text("service", m_service.text)
	    .number("config", m_routes ? static_cast<std::int64_t>(m_routes->version()) : 0)
	    .number("status", _status)
	    .text("outcome", to_string(_outcome))
	    .text("reason", to_string(_reason))
	    .text("region", m_region_choice.region.text)
	    .text("backend", m_tried.empty() ? "" : m_tried.back().text)
	    .number("attempts", m_history.reached)
	    .number("unsent", m_history.unsent)
	    .number("ms", to_ms(m_context.clock.steady() - m_arrived_at).count());
	if (nullptr != m_customer)
	{
		line.text("customer", m_customer->name.text);
	}
	if (!m_relay.empty())
	{
		line.text("relay", m_relay);
	}
	if (m_denied_retry)
	{
		line.number("window_first", m_denied_retry->first_attempts)
		    .number("window_retries", m_denied_retry->retries)
		    .decimal("window_allowed", m_denied_retry->allowed);
	}
	if (promises_not_run(_status))
	{
		describe_promise(line, _evidence);
	}
	describe_admission(line);
	m_context.log.write(line);
}

bool forwarded_request::promises_not_run(unsigned _status) const
{
	return is_promise(_status) && nullptr != m_route && repeat_rule::at_most_once == m_route->repeat;
}

void forwarded_request::describe_promise(log_line& _line, std::optional<not_run_evidence> _evidence) const
{
	_line.text("promise", _evidence ? to_string(*_evidence) : "none")
	    .number("stalled_ms", to_ms(m_context.gap.total() - m_stalled_before).count());
}

void forwarded_request::release()
{
	leave_queue();
	give_token_back();
	return_trial();
	report_end();
	m_state = state::ended;
	m_deadline_timer.cancel();
	m_wait_timer.cancel();
	if (m_exchange)
	{
		const steady_time now = m_context.clock.steady();
		m_exchange->cancel(response_drain_time(to_ms(now - m_sent_at), now >= m_deadline));
		m_exchange.reset();
	}
	m_session->set_disconnect_handler(nullptr);
	const request_ptr self = shared_from_this(); // Keeps the request alive while the owner removes it.
	m_owner.remove(m_number);
}
} // namespace larkrack
