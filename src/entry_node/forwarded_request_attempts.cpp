// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/forwarded_request_p.h"
#include "entry_node/upstream_request_bytes_p.h"
#include "steering/request_times_p.h"
#include "steering/slot_queue_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
attempt_end end_of(const exchange_result& _result)
{
	switch (_result.end)
	{
	case exchange_outcome::answered:
		return attempt_end_of_status(_result.response->result_int());
	case exchange_outcome::not_run:
		return _result.rejection ? attempt_end::not_run : attempt_end::lost;
	case exchange_outcome::not_sent:
		return attempt_end::not_sent;
	case exchange_outcome::lost:
		break;
	}
	return attempt_end::lost;
}

/// @returns Whether a slot may become free soon after a choice that found no backend server for that reason.
bool slot_may_free_up(backend_choice_reason _why)
{
	using why = backend_choice_reason;
	return why::limit_exhausted != _why && why::none_usable != _why && why::all_resting != _why;
}
} // namespace

backend_choice forwarded_request::choose_backend_in(const region_name& _region, service_steering& _steering)
{
	backend_query query;
	query.candidates = &m_context.backends.of_service(m_service);
	query.region = _region;
	query.own_region = m_context.region;
	query.key = m_key;
	query.key_share = _steering.keys.frequency_of(m_key);
	query.own_portion = _steering.own_portion(_region);
	query.region_requests_per_s = _steering.sent_per_s(_region, m_key);
	query.tried = &m_tried;
	query.may_try_again = &m_rejected_with_free_slots;
	query.rule = &_steering.choice.rule();
	query.versions = m_versions;
	query.sharers = m_context.fleet.sharers();
	query.tokens = &m_context.limits;
	// A retry does not wait for a token: it goes to a backend server that can take it at once.
	const bool in_time = steady_time{} == m_token_wait_since ||
	                     m_context.clock.steady() - m_token_wait_since < max_slot_wait(m_route->objective);
	query.may_wait_for_token = m_tried.empty() && in_time;
	query.without_token = &m_without_token;
	if (m_route->large_answers)
	{
		query.nearest_domain = m_context.domain;
	}
	if (const routed_service* spec = m_routes->find_service(m_service.text))
	{
		query.limits = {spec->warmup_requests_per_s, spec->max_connections};
	}
	const steady_time now = m_context.clock.steady();
	query.time_left_s = time_left_s(now);
	query.distance_s = m_context.distances.rtt_s(_region);
	return choose_backend(query, m_context.fleet, now);
}

double forwarded_request::time_left_s(steady_time _now) const
{
	const bool has_objective = m_route->objective.count() > 0;
	return to_s((has_objective ? m_arrived_at + m_route->objective : m_deadline) - _now);
}

void forwarded_request::note_expected(const backend_server& _backend)
{
	const bool cold = backend_choice_reason::next_for_key == m_choice_reason ||
	                  backend_choice_reason::idle_for_key == m_choice_reason;
	m_context.counters.cold_runs += cold ? 1 : 0;
	const bool queued = _backend.estimated_load(m_sent_at) >= _backend.registered.slots;
	m_expected = {!cold, queued, _backend.slowness.factor(m_sent_at), 0.0};
}

void forwarded_request::note_exchange_end(const backend_server& _backend, const exchange_result& _result)
{
	service_choice& choice = m_owner.service_entry(m_service).steering.choice;
	if (_backend.slowness.reported())
	{
		choice.on_work_time_reported();
	}
	if (!_result.slots_free)
	{
		return;
	}
	// A second rejection excludes the backend server, so that false reports do not use up all attempts.
	std::vector<backend_id>& again = m_rejected_with_free_slots;
	const auto earlier = std::find(again.begin(), again.end(), _backend.registered.id);
	if (again.end() == earlier)
	{
		again.push_back(_backend.registered.id);
		return;
	}
	again.erase(earlier);
}

bool forwarded_request::try_send()
{
	if (state::queued == m_state && refuse_after_wait())
	{
		return true;
	}
	service_steering& steering = m_owner.service_entry(m_service).steering;
	region_shares& shares = steering.shares.of(m_region_choice.rule);
	const std::vector<std::string>& homes = m_home_regions.regions;
	bool slot_may_free = false;
	m_first_return_at = {};
	m_only_resting = false;
	for (const region_name& region : regions_to_try(m_region_choice.region, shares.shares(), homes))
	{
		const backend_choice choice = choose_backend_in(region, steering);
		if (nullptr == choice.backend)
		{
			note_no_backend(choice);
			slot_may_free = slot_may_free || slot_may_free_up(choice.why);
			continue;
		}
		if (region != m_region_choice.region)
		{
			if (!must_leave(m_region_choice.region, homes) &&
			    overflow_decision::denied == steering.overflow.may_leave(m_region_choice.region, homes,
			                                     steering.demand.requests_per_s(), m_context.clock.steady()))
			{
				if (backend_choice_reason::awaits_token != choice.why)
				{
					m_context.limits.return_token(*choice.backend);
				}
				m_only_limited = false;
				return false;
			}
			shares.move_credit(m_region_choice.region, region);
			m_region_choice.region = region;
		}
		leave_queue();
		m_choice_reason = choice.why;
		const backend_ptr backend = m_context.backends.find(choice.backend->registered.id);
		if (backend_choice_reason::awaits_token == choice.why)
		{
			ask_for_token(backend);
			return true;
		}
		send_to(backend);
		return true;
	}
	if (version_side::target == m_versions.side)
	{
		m_versions.side = version_side::others; // The target version is full: not worth a wait.
		return try_send();
	}
	m_only_limited = !slot_may_free && !m_without_token.empty();
	m_only_resting = !slot_may_free && steady_time{} != m_first_return_at;
	m_none_usable = !slot_may_free && !m_only_limited && !m_only_resting;
	if (state::queued == m_state && rest_exceeds_wait())
	{
		refuse(reason::resting);
		return true;
	}
	return false;
}

void forwarded_request::note_no_backend(const backend_choice& _choice)
{
	if (backend_choice_reason::all_resting == _choice.why)
	{
		m_first_return_at = steady_time{} == m_first_return_at
		                        ? _choice.available_at
		                        : std::min(m_first_return_at, _choice.available_at);
	}
}

bool forwarded_request::rest_exceeds_wait() const
{
	return m_only_resting && m_first_return_at > m_context.clock.steady() + max_slot_wait(m_route->objective);
}

void forwarded_request::ask_for_token(const backend_ptr& _backend)
{
	m_state = state::awaiting_token;
	m_token_wait_since = steady_time{} == m_token_wait_since ? m_context.clock.steady() : m_token_wait_since;
	m_context.limits.wait_for_token(*_backend,
	    [self = shared_from_this(), _backend](quota_answer _answer)
	    {
		    self->on_token(_backend, _answer);
	    });
}

void forwarded_request::on_token(const backend_ptr& _backend, quota_answer _answer)
{
	const bool granted = quota_answer::granted == _answer;
	const steady_time now = m_context.clock.steady();
	const bool can_send = state::awaiting_token == m_state && granted && key_still_valid() &&
	                      _backend->usable(now) && now < m_deadline && !too_late_to_stop();
	if (can_send)
	{
		send_to(_backend);
		return;
	}
	if (granted)
	{
		m_context.limits.return_token(*_backend);
	}
	if (state::awaiting_token != m_state || end_if_deadline_over())
	{
		return;
	}
	if (!key_still_valid())
	{
		refuse_key();
		return;
	}
	if (too_late_to_stop())
	{
		refuse_as_stopping();
		return;
	}
	m_without_token.push_back(_backend->registered.id);
	if (!try_send())
	{
		join_queue();
	}
}

std::chrono::milliseconds forwarded_request::time_for_backend(steady_time _now) const
{
	const std::chrono::milliseconds left = to_ms(m_deadline - _now);
	return m_context.stop ? std::min(left, to_ms(stop_time_left(*m_context.stop, _now))) : left;
}

void forwarded_request::send_to(const backend_ptr& _backend)
{
	upstream_request request = make_upstream_request(m_request, m_context.names, _backend->registered.id,
	    nullptr == m_customer ? customer_name() : m_customer->name, m_body);
	request.time_left = time_for_backend(m_context.clock.steady());
	request.request_id = m_request_id;
	request.kind = request_kind(m_service.text + ' ' + m_route->name);
	request.max_header_bytes = std::max(k_default_response_header_bytes, m_routes->limits().header_bytes);
	request.head = http::verb::head == m_request.method();
	service_steering& steering = m_owner.service_entry(m_service).steering;
	request.by_completion = steering.choice.by_completion();
	request.at_most_once = repeat_rule::at_most_once == m_route->repeat;
	request.first_attempt = m_tried.empty();
	request.attempt = ++m_attempts;
	m_state = state::sent;
	m_tried.push_back(_backend->registered.id);
	m_context.backends.mark_in_use(*_backend);
	m_sent_at = m_context.clock.steady();
	m_admission->on_sent(m_admission_request, m_sent_at);
	note_expected(*_backend);
	++m_context.counters.attempts;
	if (path_use::by_relay == _backend->path)
	{
		request.fingerprint = fingerprint();
	}
	m_exchange =
	    m_context.exchanges.make(_backend, std::move(request), m_home_regions.regions, m_context.reports,
	        [self = shared_from_this()](exchange_result&& _result)
	        {
		        self->on_result(std::move(_result));
	        });
	m_relay = m_exchange->relay();
	m_exchange->start();
}

void forwarded_request::on_result(exchange_result&& _result)
{
	const backend_ptr backend = m_exchange->backend();
	m_exchange.reset();
	if (_result.connect_time)
	{
		m_context.distances.add_connect_time(backend->region, *_result.connect_time);
	}
	if (_result.withheld && backend->limit.limited())
	{
		m_context.limits.return_token(*backend);
	}
	if (state::ended == m_state)
	{
		return;
	}
	report_attempt(*backend, end_of(_result));
	if (m_relay.empty())
	{
		report_exchange(backend, _result); // A relay reports in place of this node.
	}
	if (exchange_outcome::not_sent == _result.end)
	{
		m_unsent.push_back(backend->registered.id);
	}
	note_exchange_end(*backend, _result);
	if (version_side::target == m_versions.side)
	{
		m_versions.side = version_side::others; // A retry avoids the new version, which may be faulty.
	}
	double service_time_s = 0.0;
	if (exchange_outcome::answered == _result.end)
	{
		const steady_time now = m_context.clock.steady();
		service_time_s = to_s(now - m_sent_at);
		m_owner.times_of(*m_route).add(now - m_arrived_at);
		service_steering& steering = m_owner.service_entry(m_service).steering;
		steering.demand.add_service_time(service_time_s);
		m_expected.time_s = service_time_s - m_context.distances.rtt_s(backend->region);
		steering.choice.completion.works.on_answer(m_expected);
	}
	else
	{
		log_failed_attempt(*backend, _result);
	}
	note_attempt_end(end_of(_result), service_time_s);
	apply_rule(attempt_rule_for(end_of(_result), m_route->repeat), std::move(_result));
	m_owner.retry_waiting_requests();
}

void forwarded_request::apply_rule(const attempt_rule& _rule, exchange_result&& _result)
{
	if (_result.relay_failed)
	{
		++m_history.relay_failures;
	}
	else
	{
		m_history.count(_rule);
	}
	if (_rule.forward_response)
	{
		respond(final_answer::forward(std::move(*_result.response), _result.framing, m_route->repeat));
		return;
	}
	if (_rule.keep_response)
	{
		m_kept_response = std::move(_result.response);
		m_kept_framing = _result.framing;
	}
	const bool crash_suspected = _result.connection_broke && !m_context.crashes.may_retry(fingerprint());
	const bool in_time = m_context.clock.steady() < m_deadline;
	const bool may_retry = in_time && !_result.no_memory && key_still_valid() && !too_late_to_stop() &&
	                       !crash_suspected && trial_state::used != m_trial;
	if (may_retry && may_retry_free(_rule, m_history) && try_send())
	{
		return;
	}
	if (may_retry && retry_allowance::free_while_unsent == _rule.allowance && wait_for_paths())
	{
		return;
	}
	if (may_retry && retry_allowance::never != _rule.allowance && take_retry() && try_send())
	{
		return;
	}
	finish_with(response_without_retry(m_history, _rule.why));
}

bool forwarded_request::wait_for_paths()
{
	if (!m_context.exchanges.examining())
	{
		return false;
	}
	const auto is_unsent = [this](const backend_id& _id)
	{
		return m_unsent.end() != std::find(m_unsent.begin(), m_unsent.end(), _id);
	};
	m_tried.erase(std::remove_if(m_tried.begin(), m_tried.end(), is_unsent), m_tried.end());
	m_unsent.clear();
	m_none_usable = true;
	join_queue();
	return true;
}

bool forwarded_request::can_abandon(const domain_name& _domain) const
{
	const bool waits_directly = state::sent == m_state && m_exchange && m_exchange->relay().empty() &&
	                            m_exchange->backend()->registered.domain == _domain;
	const bool may_repeat =
	    repeat_rule::repeatable == m_route->repeat && m_history.reached + 1 < m_route->max_attempts;
	return waits_directly && (!m_exchange->sent() || may_repeat);
}

void forwarded_request::abandon_exchange()
{
	exchange_result result;
	result.end = m_exchange->sent() ? exchange_outcome::lost : exchange_outcome::not_sent;
	result.detail = "path_lost";
	m_exchange->cancel(std::chrono::milliseconds(0));
	on_result(std::move(result));
}

bool forwarded_request::take_retry()
{
	if (attempts_exhausted(m_history, m_route->max_attempts))
	{
		return false;
	}
	const retry_permission decision =
	    may_retry(m_history, m_route->max_attempts, m_context.clock.steady(), m_deadline);
	if (retry_permission::needs_budget != decision)
	{
		return retry_permission::free == decision;
	}
	retry_budget& retries = m_owner.service_entry(m_service).steering.retries;
	const steady_time now = m_context.clock.steady();
	if (!retries.spend(now))
	{
		m_denied_retry = retries.counts(now);
		++m_context.counters.retries_denied;
		return false;
	}
	m_context.exported_metrics.count_retry();
	return true;
}

void forwarded_request::report_attempt(const backend_server& _backend, attempt_end _end)
{
	const bool by_path = attempt_end::lost == _end && m_context.exchanges.in_doubt(_backend);
	if (attempt_end::not_run == _end || attempt_end::not_sent == _end || by_path)
	{
		return;
	}
	const steady_time now = m_context.clock.steady();
	version_attempt attempt;
	attempt.service = m_service;
	attempt.version = _backend.registered.version;
	attempt.route = m_route->name;
	attempt.failed = attempt_end::served != _end;
	if (!attempt.failed && !_backend.cold(now))
	{
		attempt.time = to_ms(now - m_sent_at);
	}
	m_context.rollouts.on_attempt_end(attempt);
}

void forwarded_request::log_failed_attempt(const backend_server& _backend, const exchange_result& _result)
{
	log_line line(event::attempt_failed);
	line.text("id", m_request_id)
	    .text("service", m_service.text)
	    .text("backend", _backend.registered.id.text)
	    .text("why", _result.detail)
	    .decimal("busy", _backend.estimated_load(m_context.clock.steady()))
	    .number("ms", to_ms(m_context.clock.steady() - m_sent_at).count());
	if (_result.marks)
	{
		line.text("answer", to_string(*_result.marks));
	}
	if (!m_relay.empty())
	{
		line.text("relay", m_relay);
	}
	line.number("attempt", m_attempts).text("connection", _result.on_kept_connection ? "kept" : "new");
	if (0 != _result.relay_status)
	{
		line.number("relay_status", _result.relay_status);
	}
	m_context.log.write(line);
}
} // namespace larkrack
