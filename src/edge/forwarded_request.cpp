// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "forwarded_request_p.h"

#include "header_rules_p.h"
#include "request_times_p.h"

#include <algorithm>
#include <cstdio>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace larkrack
{
namespace
{
/// Weight of the newest exchange in the mean service time.
constexpr double k_service_time_weight = 0.05;
/// Part of the objective for which a request waits for a free slot before it is refused.
constexpr double k_wait_part = 0.2;
/// Wait when the route names no objective.
constexpr std::chrono::milliseconds k_wait_default{100};

/// @returns Place of a key in [0, 1); a request without one has any.
double position_of(std::uint64_t _affinity, std::minstd_rand& _random)
{
	if (0 == _affinity)
	{
		return std::uniform_real_distribution<double>(0.0, 1.0)(_random);
	}
	const std::uint64_t hash = XXH64(&_affinity, sizeof(_affinity), 2);
	return static_cast<double>(hash >> 11U) / static_cast<double>(1ULL << 53U);
}

attempt_end end_of(const exchange_result& _result)
{
	switch (_result.end)
	{
	case exchange_outcome::answered:
		return end_of_answer(_result.response->result_int());
	case exchange_outcome::not_run:
		return attempt_end::not_run;
	case exchange_outcome::not_sent:
		return attempt_end::not_sent;
	case exchange_outcome::lost:
		break;
	}
	return attempt_end::lost;
}

std::chrono::milliseconds to_ms(steady_time::duration _time)
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(_time);
}
} // namespace

forwarded_request::forwarded_request(
    forwarder& _forwarder, std::shared_ptr<caller_session> _session, caller_request&& _request)
    : m_forwarder(_forwarder), m_session(std::move(_session)), m_request(std::move(_request)),
      m_request_id(m_request[_forwarder.m_names.request_id]), m_routes(_forwarder.m_routes),
      m_arrived_at(_forwarder.m_clock.steady()), m_deadline_timer(_forwarder.m_context),
      m_wait_timer(_forwarder.m_context)
{
}

void forwarded_request::start()
{
	m_session->on_leave(
	    [self = shared_from_this()]
	    {
		    self->on_caller_left();
	    });
	if (m_forwarder.m_stopping)
	{
		refuse(reason::stopping);
		return;
	}
	if (!m_routes)
	{
		refuse(reason::no_configuration);
		return;
	}
	const std::string_view host(m_request[http::field::host].data(), m_request[http::field::host].size());
	const std::string_view target(m_request.target().data(), m_request.target().size());
	m_route = m_routes->find(host, target);
	if (nullptr == m_route)
	{
		answer(caller_response(http::status::not_found, 11), outcome::not_run, reason::unknown_service);
		return;
	}
	admit();
}

void forwarded_request::admit()
{
	const auto stated = m_request.find(m_forwarder.m_names.timeout_ms);
	std::optional<std::string_view> stated_ms;
	if (m_request.end() != stated)
	{
		stated_ms.emplace(stated->value().data(), stated->value().size());
	}
	const std::chrono::milliseconds timeout = request_timeout(stated_ms, m_route->timeout);
	m_deadline = m_arrived_at + timeout;
	m_service = choose_service();
	m_affinity = affinity_of_request();
	forwarder::service_state& state = m_forwarder.state_of(m_service);
	++state.arrivals;
	state.keys.count(m_affinity);
	state.retries.earn(m_arrived_at);
	choose_region(state);
	m_deadline_timer.expires_after(timeout);
	m_deadline_timer.async_wait(
	    [self = shared_from_this()](beast::error_code _error)
	    {
		    if (!_error)
		    {
			    self->on_deadline();
		    }
	    });
	if (!try_send())
	{
		wait_for_slot();
	}
}

std::uint64_t forwarded_request::affinity_of_request() const
{
	if (!m_route->sticky)
	{
		return 0;
	}
	const std::string key = cookie_value(m_request, m_forwarder.m_names.affinity_cookie);
	if (key.empty())
	{
		return 0;
	}
	// Equal keys of two routes are two things: a backend server that knows one is no faster with the other.
	const std::uint64_t place = XXH64(m_route->path_prefix.data(), m_route->path_prefix.size(), 1);
	return XXH64(key.data(), key.size(), place);
}

void forwarded_request::choose_region(forwarder::service_state& _state)
{
	const double position = position_of(m_affinity, m_forwarder.m_random);
	// Large answers stay near their caller: the bytes between regions weigh more than what the key saves.
	if (0 != m_affinity && !m_route->large_answers)
	{
		m_region = _state.keyed_shares.place(position);
		m_keyed = m_region == m_forwarder.m_placement.region ||
		          m_forwarder.m_distances.bearable(m_region, m_route->objective);
	}
	if (!m_keyed)
	{
		m_region = _state.shares.next(position);
	}
}

region_shares& forwarded_request::shares_of(forwarder::service_state& _state) const
{
	return m_keyed ? _state.keyed_shares : _state.shares;
}

std::string forwarded_request::choose_service()
{
	if (1 == m_route->targets.size())
	{
		return m_route->targets.front().service;
	}
	std::vector<std::pair<std::string, double>> weights;
	for (const route_target& target : m_route->targets)
	{
		weights.emplace_back(target.service, target.weight);
	}
	return weights[m_forwarder.m_splits[m_route->name].next(weights)].first;
}

std::vector<std::string> forwarded_request::regions_to_try()
{
	const std::vector<std::string>& homes = m_route->home_regions;
	const auto allowed = [&](const std::string& _region)
	{
		return homes.empty() || homes.end() != std::find(homes.begin(), homes.end(), _region);
	};
	std::vector<std::string> regions;
	if (allowed(m_region) && !m_region.empty())
	{
		regions.push_back(m_region);
	}
	std::vector<std::pair<double, std::string>> others;
	for (const auto& [region, share] : shares_of(m_forwarder.state_of(m_service)).shares())
	{
		if (region != m_region && allowed(region))
		{
			others.emplace_back(-share, region);
		}
	}
	std::sort(others.begin(), others.end());
	for (const auto& [share, region] : others)
	{
		regions.push_back(region);
	}
	if (regions.empty())
	{
		regions = homes;
	}
	return regions;
}

backend_ptr forwarded_request::choose_backend(const std::string& _region)
{
	selection wanted;
	wanted.candidates = &m_forwarder.m_backends.of_service(service_name(m_service));
	wanted.region = _region;
	wanted.own_region = m_forwarder.m_placement.region;
	wanted.affinity = m_affinity;
	wanted.key_share = m_forwarder.state_of(m_service).keys.share(m_affinity);
	wanted.tried = m_tried;
	const auto& portions = m_forwarder.state_of(m_service).portions;
	const auto portion = portions.find(_region);
	wanted.portion = portions.end() == portion ? slot_portion{} : portion->second;
	if (m_route->large_answers)
	{
		wanted.nearest_domain = m_forwarder.m_placement.domain;
	}
	service_bounds bounds;
	if (const routed_service* spec = m_routes->find_service(m_service))
	{
		bounds.warmup_requests_per_s = spec->warmup_requests_per_s;
		bounds.max_connections = spec->max_connections;
	}
	const backend_state* selected = m_forwarder.m_selector.select(
	    wanted, bounds, m_forwarder.m_fleet.sharers(), m_forwarder.m_fleet, m_forwarder.m_clock.steady());
	return nullptr == selected ? nullptr : m_forwarder.m_backends.find(selected->registered.id);
}

bool forwarded_request::try_send()
{
	forwarder::service_state& state = m_forwarder.state_of(m_service);
	for (const std::string& region : regions_to_try())
	{
		const backend_ptr backend = choose_backend(region);
		if (!backend)
		{
			continue;
		}
		if (region != m_region)
		{
			if (!may_leave_region(state))
			{
				return false;
			}
			shares_of(state).moved(m_region, region);
			m_region = region;
		}
		leave_queue();
		send_to(backend);
		return true;
	}
	return false;
}

bool forwarded_request::may_leave_region(forwarder::service_state& _state)
{
	// Where the route's homes leave no choice, the shares of the service do not bind.
	const std::vector<std::string>& homes = m_route->home_regions;
	const bool home_bound = !homes.empty() && homes.end() == std::find(homes.begin(), homes.end(), m_region);
	return home_bound || m_region.empty() || m_forwarder.may_overflow(_state);
}

void forwarded_request::wait_for_slot()
{
	const auto objective = m_route->objective;
	const auto wait = objective.count() > 0 ? std::chrono::milliseconds(static_cast<std::int64_t>(
	                                              k_wait_part * static_cast<double>(objective.count())))
	                                        : k_wait_default;
	m_waiting = true;
	++m_forwarder.m_counters.queued;
	m_forwarder.state_of(m_service).waiting[m_route->priority].push_back(shared_from_this());
	m_wait_timer.expires_after(wait);
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
	if (!m_waiting)
	{
		return;
	}
	m_waiting = false;
	m_wait_timer.cancel();
	m_forwarder.state_of(m_service).waiting[m_route->priority].remove(shared_from_this());
}

void forwarded_request::on_wait_over()
{
	if (m_waiting && !m_ended)
	{
		refuse(reason::no_headroom);
	}
}

std::string forwarded_request::bytes_for(const backend_server& _backend) const
{
	const header_names& names = m_forwarder.m_names;
	std::string bytes;
	bytes.reserve(512 + m_request.body().size());
	append_text(bytes, m_request.method_string());
	bytes += ' ';
	append_text(bytes, m_request.target());
	bytes += " HTTP/1.1\r\n";
	const std::string listed = to_lower(m_request[http::field::connection]);
	for (const auto& field : m_request)
	{
		const auto name = field.name_string();
		if (is_hop_by_hop(name, listed) || beast::iequals(name, names.timeout_ms) ||
		    beast::iequals(name, names.target_id) || http::field::content_length == field.name() ||
		    http::field::expect == field.name())
		{
			continue;
		}
		append_header(bytes, name, field.value());
	}
	const auto left = std::max<std::int64_t>(1, to_ms(m_deadline - m_forwarder.m_clock.steady()).count());
	append_header(bytes, names.timeout_ms, std::to_string(left));
	append_header(bytes, names.target_id, _backend.registered.id.text);
	if (m_request.has_content_length() || m_request.chunked() || !m_request.body().empty())
	{
		append_header(bytes, "Content-Length", std::to_string(m_request.body().size()));
	}
	bytes += "\r\n";
	bytes += m_request.body();
	return bytes;
}

void forwarded_request::send_to(const backend_ptr& _backend)
{
	upstream_request request;
	request.bytes = std::make_shared<const std::string>(bytes_for(*_backend));
	request.request_id = m_request_id;
	request.head = http::verb::head == m_request.method();
	request.at_most_once = repeat_rule::at_most_once == m_route->repeat;
	m_tried.push_back(_backend->registered.id.text);
	m_sent_at = m_forwarder.m_clock.steady();
	++m_forwarder.m_counters.attempts;
	const auto connect = connect_timeout(_backend->region.text == m_forwarder.m_placement.region);
	m_exchange = std::make_shared<upstream_exchange>(m_forwarder.m_context, m_forwarder.m_clock,
	    m_forwarder.m_names, _backend, std::move(request), connect,
	    [self = shared_from_this()](exchange_result&& _result)
	    {
		    self->on_result(std::move(_result));
	    });
	m_exchange->start();
}

void forwarded_request::on_result(exchange_result&& _result)
{
	const backend_ptr backend = m_exchange->backend();
	m_exchange.reset();
	if (_result.connect_time)
	{
		m_forwarder.m_distances.note(backend->region.text, *_result.connect_time);
	}
	if (m_ended)
	{
		return;
	}
	if (exchange_outcome::answered != _result.end)
	{
		m_forwarder.m_log.write(log_line(event::attempt_failed)
		                            .text("id", m_request_id)
		                            .text("service", m_service)
		                            .text("backend", backend->registered.id.text)
		                            .text("why", _result.detail)
		                            .decimal("busy", backend->estimated_load(m_forwarder.m_clock.steady()))
		                            .number("ms", to_ms(m_forwarder.m_clock.steady() - m_sent_at).count()));
	}
	const attempt_end end = end_of(_result);
	if (exchange_outcome::answered == _result.end)
	{
		forwarder::service_state& state = m_forwarder.state_of(m_service);
		const double took = std::chrono::duration<double>(m_forwarder.m_clock.steady() - m_sent_at).count();
		state.service_time_s += k_service_time_weight * (took - state.service_time_s);
	}
	follow(rule_after(end, m_route->repeat), std::move(_result));
	m_forwarder.pump();
}

void forwarded_request::follow(const attempt_rule& _rule, exchange_result&& _result)
{
	m_history.count(_rule);
	if (_rule.pass_answer_on)
	{
		answer(std::move(*_result.response), outcome::served, reason::none);
		return;
	}
	if (_rule.keep_answer)
	{
		m_kept_answer = std::move(_result.response);
	}
	if (may_resend_free(_rule, m_history) && try_send())
	{
		return;
	}
	if (resend_price::never != _rule.price && pay_for_resend() && try_send())
	{
		return;
	}
	end_with(answer_without_resend(m_history, _rule.why));
}

bool forwarded_request::pay_for_resend()
{
	const steady_time now = m_forwarder.m_clock.steady();
	const resend decision = may_resend(m_history, m_route->max_attempts, now, m_deadline);
	if (resend::within_budget != decision)
	{
		return resend::free == decision;
	}
	if (!m_forwarder.state_of(m_service).retries.spend(now))
	{
		++m_forwarder.m_counters.retries_denied;
		return false;
	}
	m_forwarder.m_metrics.count_retry();
	return true;
}

void forwarded_request::on_deadline()
{
	if (m_ended)
	{
		return;
	}
	end_with(answer_at_deadline(m_history, m_exchange && m_exchange->sent()));
}

void forwarded_request::on_caller_left()
{
	if (m_ended)
	{
		return;
	}
	++m_forwarder.m_counters.left;
	log_end(0, outcome::unknown, reason::none);
	forget();
}

void forwarded_request::end_with(const final_answer& _end)
{
	if (_end.kept_answer)
	{
		answer(std::move(*m_kept_answer), _end.end, _end.why);
		return;
	}
	if (outcome::unknown == _end.end)
	{
		answer(caller_response(static_cast<http::status>(_end.status), 11), _end.end, _end.why);
		return;
	}
	refuse(_end.why);
}

void forwarded_request::refuse(reason _reason)
{
	caller_response response(static_cast<http::status>(k_status_refused), 11);
	char text[16];
	std::snprintf(text, sizeof(text), "%.2f", retry_after_s(m_forwarder.m_random));
	response.set(http::field::retry_after, text);
	answer(std::move(response), outcome::not_run, _reason);
}

void forwarded_request::answer(caller_response&& _response, outcome _outcome, reason _reason)
{
	strip_hop_by_hop(_response);
	log_end(_response.result_int(), _outcome, _reason);
	const steady_time now = m_forwarder.m_clock.steady();
	m_forwarder.m_metrics.count_outcome(m_service, _outcome, _reason);
	m_forwarder.m_metrics.observe_seconds(std::chrono::duration<double>(now - m_arrived_at).count());
	const std::shared_ptr<caller_session> session = m_session;
	forget();
	session->respond(std::move(_response));
}

void forwarded_request::log_end(unsigned _status, outcome _outcome, reason _reason)
{
	if (outcome::served == _outcome && !edge_log::sampled(m_request_id))
	{
		return;
	}
	m_forwarder.m_log.write(
	    log_line(event::request_ended)
	        .text("id", m_request_id)
	        .text("route", nullptr == m_route ? "" : m_route->name)
	        .text("service", m_service)
	        .number("config", m_routes ? static_cast<std::int64_t>(m_routes->version()) : 0)
	        .number("status", _status)
	        .text("outcome", to_string(_outcome))
	        .text("reason", to_string(_reason))
	        .text("region", m_region)
	        .text("backend", m_tried.empty() ? "" : m_tried.back())
	        .number("attempts", m_history.reached)
	        .number("unsent", m_history.unsent)
	        .number("ms", to_ms(m_forwarder.m_clock.steady() - m_arrived_at).count()));
}

void forwarded_request::forget()
{
	m_ended = true;
	leave_queue();
	m_deadline_timer.cancel();
	m_wait_timer.cancel();
	if (m_exchange)
	{
		m_exchange->cancel();
		m_exchange.reset();
	}
	m_session->on_leave(nullptr);
	m_forwarder.m_requests.erase(shared_from_this());
}
} // namespace larkrack
