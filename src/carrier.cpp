// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "carrier_p.h"

#include "carrier_upstream_p.h"

#include "larkrack/config.h"

#include <algorithm>

namespace larkrack
{
namespace
{
constexpr const char* k_path_lookup = "/.larkrack/lookup";
constexpr int k_priority_default = 5;
constexpr int k_priority_highest = 9;
constexpr std::chrono::seconds k_relay_age{30};
constexpr int k_tries = 3;
constexpr std::chrono::milliseconds k_come_back{250};
/// A request rather waits here for so long than goes on to another entry VM.
constexpr std::chrono::milliseconds k_wait_rather{10};
/// What is left of a deadline for the way back.
constexpr std::chrono::milliseconds k_way_back{5};

bool is_repeatable_method(http::verb _verb)
{
	return http::verb::get == _verb || http::verb::head == _verb || http::verb::options == _verb;
}

std::string first_segment(const std::string& _path)
{
	const std::size_t end = _path.find('/', 1);
	return _path.size() < 2 ? std::string() : _path.substr(1, std::string::npos == end ? end : end - 1);
}

carried_end refused(reason _reason, bool _may_try_again = true)
{
	carried_end end;
	end.result = outcome::not_run;
	end.why = _reason;
	end.may_try_again = _may_try_again;
	return end;
}

carried_end not_known(reason _reason)
{
	carried_end end;
	end.result = outcome::unknown;
	end.why = _reason;
	return end;
}

http::status status_of(const carried_end& _end)
{
	if (outcome::unknown == _end.result)
	{
		return http::status::bad_gateway;
	}
	switch (_end.why)
	{
	case reason::unknown_service:
		return http::status::not_found;
	case reason::bad_request:
		return http::status::bad_request;
	case reason::bad_grant:
		return http::status::forbidden;
	case reason::deadline:
		return http::status::gateway_timeout;
	case reason::no_headroom:
	case reason::cap:
		return http::status::too_many_requests;
	default:
		return http::status::service_unavailable;
	}
}
} // namespace

carrier::carrier(asio::io_context& _context, const kernel& _kernel, retry_token_bucket& _budget)
    : m_context(_context), m_settings(_kernel.find<settings_service>("settings")->get()),
      m_clock(*_kernel.find<clock_base>("clock")), m_gate(*_kernel.find<gate>("gate")),
      m_keys(*_kernel.find<key_table>("key_table")), m_board(*_kernel.find<view_publisher>("view_publisher")),
      m_metrics(*_kernel.find<metrics>("metrics")), m_tracer(_kernel.find<tracer_service>("tracer")->get()),
      m_budget(_budget), m_signer(m_settings.secret), m_pool(_context.get_executor()),
      m_random(std::random_device{}()), m_lookups(m_random())
{
	m_id_prefix = m_settings.name + "-" + std::to_string(m_random() % 1000000000) + "-";
}

void carrier::handle_caller(http_session& _session, http_request& _request, const yield_context& _yield)
{
	if (k_path_lookup == path_of(std::string(_request.target())))
	{
		answer_lookup(_session, _request, _yield);
		return;
	}
	carried call;
	call.request = &_request;
	call.origin = request_origin::caller;
	call.id = m_id_prefix + std::to_string(++m_next_id);
	handle(_session, call, _yield);
}

void carrier::handle_relay(http_session& _session, http_request& _request, const yield_context& _yield)
{
	carried call;
	call.request = &_request;
	if (!is_relay_signed(_request, call.origin))
	{
		answer_end(_session, call, refused(reason::bad_request), _yield);
		return;
	}
	call.id = header_of(_request, k_header_request_id);
	call.way = header_of(_request, k_header_entry_vm) + ",";
	handle(_session, call, _yield);
}

void carrier::handle(http_session& _session, carried& _call, const yield_context& _yield)
{
	const steady_time started = m_clock.steady();
	++m_in_flight;
	const std::optional<reason> fault = fill(_call, _session);
	std::unique_ptr<opentracing::Span> span =
	    m_tracer.start_hop(request_origin::caller == _call.origin ? "entry_vm" : "entry_vm_relayed",
	        header_of(*_call.request, k_header_traceparent), _call.traceparent);
	carried_end end = fault ? refused(*fault) : carry(_session, _call, _yield);
	if (!end.answered)
	{
		answer_end(_session, _call, end, _yield);
	}
	if (span)
	{
		span->SetTag("service", _call.service_name);
		span->SetTag("outcome", std::string(to_string(end.result)));
		span->SetTag("backend", end.backend);
	}
	m_metrics.count_outcome(_call.service_name, end.result, end.why);
	m_metrics.observe_seconds(static_cast<double>((m_clock.steady() - started).count()) / 1e6);
	--m_in_flight;
}

std::optional<reason> carrier::fill(carried& _call, const http_session& _session)
{
	const http_request& request = *_call.request;
	_call.view = m_board.get();
	_call.way += m_settings.name;
	_call.caller = _session.peer().address();
	const std::string named = header_of(request, k_header_caller);
	if (!named.empty() && (m_settings.trust_caller_header || request_origin::caller != _call.origin))
	{
		boost::system::error_code failure;
		const auto address = asio::ip::make_address(named, failure);
		_call.caller = failure ? _call.caller : address;
	}
	_call.service_name = header_of(request, k_header_service);
	if (_call.service_name.empty())
	{
		_call.service_name = first_segment(path_of(std::string(request.target())));
	}
	_call.key = header_of(request, k_header_key);
	_call.first_try = "1" == header_of(request, k_header_first_try);
	_call.repeatable =
	    is_repeatable_method(request.method()) || "1" == header_of(request, k_header_repeatable);
	_call.repeatable = _call.repeatable && _call.key.empty();
	const std::string priority = header_of(request, k_header_priority);
	_call.priority = priority.empty() ? k_priority_default
	                                  : std::clamp(std::atoi(priority.c_str()), 0, k_priority_highest);
	if (!_call.view)
	{
		_call.service_name = "";
		return reason::no_configuration;
	}
	_call.service = _call.view->rules->find_service(_call.service_name);
	if (!is_valid(_call.service))
	{
		_call.service_name = "";
		return reason::unknown_service;
	}
	const std::string deadline = header_of(request, k_header_deadline);
	const auto longest = _call.view->rules->at(_call.service).deadline;
	const auto wanted =
	    std::chrono::milliseconds(deadline.empty() ? longest.count() : std::atoll(deadline.c_str()));
	_call.deadline = m_clock.steady() + wanted;
	return std::nullopt;
}

void carrier::answer_lookup(http_session& _session, const http_request& _request, const yield_context& _yield)
{
	m_metrics.count_lookup();
	const view_ptr view = m_board.get();
	const std::string target(_request.target());
	std::string child;
	const auto span = m_tracer.start_hop("lookup", header_of(_request, k_header_traceparent), child);
	const service_handle service =
	    view ? view->rules->find_service(query_value(target, "service")) : service_handle{};
	if (!is_valid(service))
	{
		carried call;
		call.request = &_request;
		call.way = m_settings.name;
		answer_end(
		    _session, call, refused(view ? reason::unknown_service : reason::no_configuration), _yield);
		return;
	}
	asio::ip::address caller = _session.peer().address();
	const std::string named = header_of(_request, k_header_caller);
	if (m_settings.trust_caller_header && !named.empty())
	{
		boost::system::error_code failure;
		const auto address = asio::ip::make_address(named, failure);
		caller = failure ? caller : address;
	}
	http_response response =
	    make_json(http::status::ok, m_lookups.answer(view, service, caller, m_signer, m_clock.wall()));
	response.set(
	    http::field::cache_control, "private, max-age=" + std::to_string(k_lookup_ttl.count() / 1000));
	_session.send(response, _yield);
}

carried_end carrier::carry(http_session& _session, carried& _call, const yield_context& _yield)
{
	if (_call.key.empty() || request_origin::for_slot == _call.origin)
	{
		return serve(_session, _call, _yield);
	}
	return carry_keyed(_session, _call, _yield);
}

carried_end carrier::carry_keyed(http_session& _session, carried& _call, const yield_context& _yield)
{
	const policy& rules = *_call.view->rules;
	// What an earlier try with this key may have done is not known here, unless the caller says there was
	// none.
	const auto without_memory = [&](reason _reason)
	{
		return _call.first_try ? refused(_reason, false) : not_known(_reason);
	};
	entry_vm_handle owner;
	incarnation life;
	steady_time forget_at = m_clock.steady() + k_grant_life;
	if (is_granted_key(_call.key))
	{
		result<grant> read = m_signer.read(_call.key);
		const grant* given = value_of(read);
		if (nullptr == given || given->service != _call.service_name)
		{
			return refused(reason::bad_grant, false);
		}
		const auto left = given->expires - m_clock.wall();
		if (left <= std::chrono::microseconds(0))
		{
			return without_memory(reason::bad_grant);
		}
		owner = rules.find_entry_vm(given->entry_vm);
		life = given->life;
		forget_at = m_clock.steady() + left + k_clock_skew;
	}
	else
	{
		owner = key_owner(rules, _call.key);
		life = is_valid(owner) ? _call.view->peers[owner.idx].life : life;
	}
	if (!is_valid(owner))
	{
		return without_memory(reason::owner_gone);
	}
	if (owner == _call.view->self)
	{
		const bool granted_here = is_granted_key(_call.key) && life == _call.view->life;
		const bool bare_here =
		    !is_granted_key(_call.key) &&
		    (_call.view->first_life || _call.first_try ||
		        _call.view->life.value +
		                static_cast<std::uint64_t>(std::chrono::microseconds(k_grant_life).count()) <
		            static_cast<std::uint64_t>(to_us(m_clock.wall())));
		if (!granted_here && !bare_here)
		{
			return without_memory(reason::owner_gone);
		}
		return run_keyed(_session, _call, forget_at, _yield);
	}
	if (request_origin::for_key == _call.origin)
	{
		return without_memory(reason::owner_gone);
	}
	carried_end end = exchange_peer(_session, _call, owner, request_origin::for_key, _yield);
	if (outcome::not_run == end.result && reason::unreachable == end.why)
	{
		return without_memory(reason::owner_gone);
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
	kept_answer kept;
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
		boost::system::error_code ignored;
		_timer->async_wait(_yield[ignored]);
	}
	if (!*_answer)
	{
		return not_known(reason::in_flight_too_long);
	}
	const kept_answer& kept = **_answer;
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
		const bool again = (end.may_try_again && reason::cap != end.why) || lost;
		if (!again || request_origin::for_slot == _call.origin || _call.deadline <= m_clock.steady() ||
		    (reason::no_backend != end.why && !m_budget.spend()))
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
	double sum = 0.0;
	// A full one still gets a few, for what is heard of it is old.
	constexpr double k_full_weight = 1e-3;
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
			sum += weights[at];
		}
	}
	if (sum <= 0.0)
	{
		return {};
	}
	double left = std::uniform_real_distribution<double>(0.0, sum)(m_random);
	entry_vm_handle last;
	for (std::size_t at = 0; at < weights.size(); ++at)
	{
		if (0.0 < weights[at])
		{
			last = {static_cast<std::uint16_t>(at)};
			left -= weights[at];
			if (left < 0.0)
			{
				break;
			}
		}
	}
	return last;
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

void carrier::answer_end(
    http_session& _session, const carried& _call, const carried_end& _end, const yield_context& _yield)
{
	http_response response;
	if (outcome::served == _end.result)
	{
		response = http_response(static_cast<http::status>(_end.status), 11);
		response.set(k_header_backend, _end.backend);
		response.set("Larkrack-Repeated", "1");
		if (!_end.content_type.empty())
		{
			response.set(http::field::content_type, _end.content_type);
		}
		response.body() = _end.body;
		if (!_end.body_kept)
		{
			response.set("Larkrack-Body", "not-kept");
		}
	}
	else
	{
		const auto after = comes_back(_call, _end.why);
		const nlohmann::json body = {{"outcome", to_string(_end.result)}, {"reason", to_string(_end.why)},
		    {"retry_after_ms", after.count()}};
		response = make_json(status_of(_end), body.dump());
		response.set(http::field::retry_after, std::to_string((after.count() + 999) / 1000));
		response.set(k_header_retry_after_ms, std::to_string(after.count()));
	}
	response.set(k_header_outcome, to_string(_end.result));
	response.set(k_header_reason, to_string(_end.why));
	response.set(k_header_entry_vm, _call.way);
	if (!_call.id.empty())
	{
		response.set(k_header_request_id, _call.id);
	}
	_session.send(response, _yield);
}

std::chrono::milliseconds carrier::comes_back(const carried& _call, reason _reason)
{
	(void)_call;
	const std::int64_t base = reason::cap == _reason ? 4 * k_come_back.count() : k_come_back.count();
	return std::chrono::milliseconds(
	    base + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(base)));
}

std::string carrier::sign_relay(const std::string& _id, request_origin _origin) const
{
	const std::string text = (request_origin::for_key == _origin ? "key:" : "slot:") + _id + ":" +
	                         std::to_string(to_us(m_clock.wall()));
	return text + ":" + m_signer.signature(text);
}

bool carrier::is_relay_signed(const http_request& _request, request_origin& _origin) const
{
	const std::string mark = header_of(_request, k_header_relay);
	const std::size_t last = mark.rfind(':');
	if (std::string::npos == last ||
	    !signer::same(m_signer.signature(mark.substr(0, last)), mark.substr(last + 1)))
	{
		return false;
	}
	const std::size_t before = mark.rfind(':', last - 1);
	const std::int64_t at = std::strtoll(mark.c_str() + before + 1, nullptr, 10);
	const std::chrono::microseconds age(to_us(m_clock.wall()) - at);
	_origin = 0 == mark.rfind("key:", 0) ? request_origin::for_key : request_origin::for_slot;
	const std::string id = mark.substr(mark.find(':') + 1, before - mark.find(':') - 1);
	return age < k_relay_age && -k_relay_age < age && id == header_of(_request, k_header_request_id);
}
} // namespace larkrack
