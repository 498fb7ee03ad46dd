// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/carrier_p.h"

#include "larkrack/config.h"

#include "larkrackd/relay_mark_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
constexpr const char* k_path_lookup = "/.larkrack/lookup";
constexpr int k_priority_default = 5;
constexpr int k_priority_max = 9;
/// Minimum delay before a refused caller retries; the delay is drawn from once to twice this value. Shorter
/// serves callers sooner after a refusal and adds load from callers that are refused again.
constexpr std::chrono::milliseconds k_min_retry_delay{250};
/// Factor of the retry delay for requests that the cap of a shift refuses: these have to wait for the window
/// of the cap to move on.
constexpr int k_cap_retry_factor = 4;

bool is_repeatable_method(http::verb _verb)
{
	return http::verb::get == _verb || http::verb::head == _verb || http::verb::options == _verb;
}

std::string first_segment(const std::string& _path)
{
	const std::size_t end = _path.find('/', 1);
	return _path.size() < 2 ? std::string() : _path.substr(1, std::string::npos == end ? end : end - 1);
}

/// @returns The caller's address: that of the connection, or that in the header when the header is trusted.
asio::ip::address caller_of(const http_session& _session, const http_request& _request, bool _trust_header)
{
	asio::ip::address peer = _session.peer().address();
	const std::string named = header_of(_request, k_header_caller);
	if (named.empty() || !_trust_header)
	{
		return peer;
	}
	boost::system::error_code failure;
	const auto address = asio::ip::make_address(named, failure);
	// A malformed header is ignored; the connection's address is the right one for a direct caller.
	return failure ? peer : address;
}

http::status status_of(const proxied_result& _end)
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

proxied_result refused_result(reason _reason, bool _may_retry)
{
	proxied_result end;
	end.result = outcome::not_run;
	end.why = _reason;
	end.may_retry = _may_retry;
	return end;
}

proxied_result unknown_result(reason _reason)
{
	proxied_result end;
	end.result = outcome::unknown;
	end.why = _reason;
	return end;
}

carrier::carrier(asio::io_context& _context, const kernel& _kernel, retry_token_bucket& _budget)
    : m_context(_context), m_settings(_kernel.find<settings_service>("settings")->get()),
      m_clock(*_kernel.find<clock_base>("clock")), m_gate(*_kernel.find<gate>("gate")),
      m_keys(*_kernel.find<key_table>("key_table")),
      m_view_publisher(*_kernel.find<view_publisher>("view_publisher")),
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
	proxied_request call;
	call.request = &_request;
	call.origin = request_origin::caller;
	call.id = m_id_prefix + std::to_string(++m_next_id);
	handle(_session, call, _yield);
}

void carrier::handle_relay(http_session& _session, http_request& _request, const yield_context& _yield)
{
	proxied_request call;
	call.request = &_request;
	call.id = header_of(_request, k_header_request_id);
	const std::optional<request_origin> origin =
	    read_relay_mark(m_signer, header_of(_request, k_header_relay), call.id, m_clock.wall());
	if (!origin)
	{
		// The response to an unsigned request does not echo the request's id.
		call.id.clear();
		answer_end(_session, call, refused_result(reason::bad_request), _yield);
		return;
	}
	call.origin = *origin;
	call.entry_vm_path = header_of(_request, k_header_entry_vm) + ",";
	handle(_session, call, _yield);
}

void carrier::handle(http_session& _session, proxied_request& _call, const yield_context& _yield)
{
	const steady_time started = m_clock.steady();
	++m_in_flight;
	const std::optional<reason> fault = fill(_call, _session);
	std::unique_ptr<opentracing::Span> span =
	    m_tracer.start_hop(request_origin::caller == _call.origin ? "entry_vm" : "entry_vm_relayed",
	        header_of(*_call.request, k_header_traceparent), _call.traceparent);
	proxied_result end = fault ? refused_result(*fault) : dispatch_request(_session, _call, _yield);
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
	m_metrics.observe_request_time(static_cast<double>((m_clock.steady() - started).count()) / 1e6);
	--m_in_flight;
}

std::optional<reason> carrier::fill(proxied_request& _call, const http_session& _session)
{
	const http_request& request = *_call.request;
	_call.view = m_view_publisher.get();
	_call.entry_vm_path += m_settings.name;
	_call.caller = caller_of(
	    _session, request, m_settings.trust_caller_header || request_origin::caller != _call.origin);
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
	_call.priority =
	    priority.empty() ? k_priority_default : std::clamp(std::atoi(priority.c_str()), 0, k_priority_max);
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
	const auto default_deadline = _call.view->rules->at(_call.service).deadline;
	const auto requested =
	    std::chrono::milliseconds(deadline.empty() ? default_deadline.count() : std::atoll(deadline.c_str()));
	_call.deadline = m_clock.steady() + requested;
	return std::nullopt;
}

void carrier::answer_lookup(http_session& _session, const http_request& _request, const yield_context& _yield)
{
	m_metrics.count_lookup();
	const view_ptr view = m_view_publisher.get();
	const std::string target(_request.target());
	std::string child;
	const auto span = m_tracer.start_hop("lookup", header_of(_request, k_header_traceparent), child);
	const service_handle service =
	    view ? view->rules->find_service(query_value(target, "service")) : service_handle{};
	if (!is_valid(service))
	{
		proxied_request call;
		call.request = &_request;
		call.entry_vm_path = m_settings.name;
		answer_end(_session, call, refused_result(view ? reason::unknown_service : reason::no_configuration),
		    _yield);
		return;
	}
	const asio::ip::address caller = caller_of(_session, _request, m_settings.trust_caller_header);
	http_response response =
	    make_json(http::status::ok, m_lookups.answer(view, service, caller, m_signer, m_clock.wall()));
	response.set(
	    http::field::cache_control, "private, max-age=" + std::to_string(k_lookup_ttl.count() / 1000));
	_session.send(response, _yield);
}

proxied_result carrier::dispatch_request(
    http_session& _session, proxied_request& _call, const yield_context& _yield)
{
	if (_call.key.empty() || request_origin::for_slot == _call.origin)
	{
		return serve(_session, _call, _yield);
	}
	return handle_keyed(_session, _call, _yield);
}

void carrier::answer_end(http_session& _session, const proxied_request& _call, const proxied_result& _end,
    const yield_context& _yield)
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
		const auto after = retry_delay(_end.why);
		const nlohmann::json body = {{"outcome", to_string(_end.result)}, {"reason", to_string(_end.why)},
		    {"retry_after_ms", after.count()}};
		response = make_json(status_of(_end), body.dump());
		response.set(http::field::retry_after, std::to_string((after.count() + 999) / 1000));
		response.set(k_header_retry_after_ms, std::to_string(after.count()));
	}
	response.set(k_header_outcome, to_string(_end.result));
	response.set(k_header_reason, to_string(_end.why));
	response.set(k_header_entry_vm, _call.entry_vm_path);
	if (!_call.id.empty())
	{
		response.set(k_header_request_id, _call.id);
	}
	_session.send(response, _yield);
}

std::chrono::milliseconds carrier::retry_delay(reason _reason)
{
	const std::int64_t base =
	    reason::cap == _reason ? k_cap_retry_factor * k_min_retry_delay.count() : k_min_retry_delay.count();
	return std::chrono::milliseconds(
	    base + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(base)));
}
} // namespace larkrack
