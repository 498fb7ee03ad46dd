// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "testing/fake_backend_p.h"

#include "testing/pattern_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Factor on the service time while the server is cold.
constexpr double k_cold_factor = 5.0;
/// Number of cancelled request ids at which the set of ids is cleared.
constexpr std::size_t k_max_cancelled_ids = 20000;

std::int64_t number_or(const std::string& _text, std::int64_t _default)
{
	return _text.empty() ? _default : std::strtoll(_text.c_str(), nullptr, 10);
}
} // namespace

fake_backend::fake_backend(
    asio::io_context& _context, fake_backend_options _options, history_writer& _runs, std::uint64_t _seed)
    : m_context(_context), m_options(std::move(_options)), m_runs(_runs), m_random(_seed),
      m_server(
          _context,
          [this](http_session& _session, http_request& _request, const yield_context& _yield)
          {
	          handle(_session, _request, _yield);
          },
          static_cast<std::size_t>(m_options.connections))
{
}

std::optional<error> fake_backend::init()
{
	return m_server.listen(m_options.address);
}

void fake_backend::set_faults(const nlohmann::json& _faults)
{
	m_faults.shed_share = _faults.value("shed_share", m_faults.shed_share);
	m_faults.slow_factor = _faults.value("slow", m_faults.slow_factor);
	m_faults.reported_load = _faults.value("lie", m_faults.reported_load);
	m_faults.dead = _faults.value("dead", m_faults.dead);
	m_faults.cut_share = _faults.value("cut_share", m_faults.cut_share);
	m_faults.cold_requests = _faults.value("cold_requests", m_faults.cold_requests);
}

nlohmann::json fake_backend::counts() const
{
	return {{"name", m_options.name}, {"running", m_running}, {"total", m_total}};
}

double fake_backend::draw_fraction()
{
	return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
}

void fake_backend::handle(http_session& _session, http_request& _request, const yield_context& _yield)
{
	if (m_faults.dead)
	{
		_session.close();
		return;
	}
	if (1 == _session.requests())
	{
		sleep_for(m_context.get_executor(), m_options.connect_cost, _yield);
	}
	const std::string path = path_of(std::string(_request.target()));
	constexpr const char* k_cancel = "/.run/";
	if ("/.load" == path)
	{
		handle_load(_session, _yield);
	}
	else if (http::verb::delete_ == _request.method() && 0 == path.rfind(k_cancel, 0))
	{
		handle_cancel(_session, path.substr(std::strlen(k_cancel)), _yield);
	}
	else if (!shed_if_needed(_session, _request, _yield))
	{
		serve(_session, _request, _yield);
	}
}

void fake_backend::handle_load(http_session& _session, const yield_context& _yield)
{
	const double true_load = static_cast<double>(m_running) / m_options.slots;
	const double load = m_faults.reported_load < 0.0 ? true_load : m_faults.reported_load;
	const nlohmann::json body = {{"running", m_running}, {"slots", m_options.slots}, {"load", load},
	    {"cold", 0 < m_faults.cold_requests}};
	http_response response = make_json(http::status::ok, body.dump());
	_session.send(response, _yield);
}

void fake_backend::handle_cancel(http_session& _session, const std::string& _id, const yield_context& _yield)
{
	const auto it = m_active.find(_id);
	const bool ran = m_active.end() != it;
	if (ran)
	{
		const run_ptr found = it->second;
		found->cancelled = true;
		found->timer.cancel();
		// The response states that the slot is free, so the run is finished first.
		finish_run(found);
	}
	if (k_max_cancelled_ids < m_cancelled.size())
	{
		m_cancelled.clear();
	}
	m_cancelled.insert(_id);
	http_response response =
	    make_json(http::status::ok, ran ? R"({"state":"stopped"})" : R"({"state":"not_running"})");
	_session.send(response, _yield);
}

void fake_backend::send_shed_response(
    http_session& _session, http::status _status, const char* _why, const yield_context& _yield)
{
	http_response response = make_json(_status, nlohmann::json({{"refused", _why}}).dump());
	response.set(k_header_shed, "1");
	_session.send(response, _yield);
}

bool fake_backend::shed_if_needed(
    http_session& _session, const http_request& _request, const yield_context& _yield)
{
	const std::string id = header_of(_request, k_header_request_id);
	const std::int64_t expires = number_or(header_of(_request, k_header_expires), INT64_MAX);
	if (expires <= to_us(m_clock.wall()))
	{
		send_shed_response(_session, http::status::gateway_timeout, "deadline", _yield);
		return true;
	}
	if (0 < m_cancelled.count(id))
	{
		send_shed_response(_session, http::status::conflict, "cancelled", _yield);
		return true;
	}
	if (0.0 < m_faults.shed_share && draw_fraction() < m_faults.shed_share)
	{
		send_shed_response(_session, http::status::service_unavailable, "shedding", _yield);
		return true;
	}
	return false;
}

void fake_backend::serve(http_session& _session, const http_request& _request, const yield_context& _yield)
{
	const std::string target(_request.target());
	auto one = std::make_shared<run>(m_context.get_executor());
	one->id = header_of(_request, k_header_request_id);
	one->key = header_of(_request, k_header_key);
	one->kind = query_value(target, "kind");
	one->start = to_us(m_clock.wall());
	one->expires = number_or(header_of(_request, k_header_expires), INT64_MAX);
	one->running = ++m_running;
	++m_total;
	m_active[one->id] = one;
	// With more running requests than slots, every request slows down, so that overload makes itself worse.
	double factor = m_faults.slow_factor * std::max(1.0, static_cast<double>(m_running) / m_options.slots);
	if (0 < m_faults.cold_requests)
	{
		--m_faults.cold_requests;
		factor *= k_cold_factor;
	}
	const double time_us = factor * static_cast<double>(number_or(query_value(target, "work_us"), 1000));
	wait_service_time(*one, std::chrono::microseconds(static_cast<std::int64_t>(time_us)), _yield);
	if (one->cancelled || one->expires <= to_us(m_clock.wall()))
	{
		finish_run(one);
		_session.close();
		return;
	}
	send_response(_session, _request, one, _yield);
	finish_run(one);
}

void fake_backend::wait_service_time(run& _run, std::chrono::microseconds _time, const yield_context& _yield)
{
	const std::int64_t left = std::max<std::int64_t>(0, _run.expires - to_us(m_clock.wall()));
	_run.timer.expires_after(std::min(_time, std::chrono::microseconds(left)));
	boost::system::error_code ignored;
	_run.timer.async_wait(_yield[ignored]);
}

void fake_backend::send_response(
    http_session& _session, const http_request& _request, const run_ptr& _run, const yield_context& _yield)
{
	const std::string target(_request.target());
	const auto size = static_cast<std::uint64_t>(number_or(query_value(target, "bytes"), 200));
	const std::string object = query_value(target, "object");
	const std::string content = object.empty() ? _run->id : object;
	http::response<http::buffer_body> head(http::status::ok, 11);
	head.set(http::field::content_type, "application/octet-stream");
	head.set(k_header_backend, m_options.name);
	head.set(k_header_request_id, _run->id);
	if (!object.empty())
	{
		head.set(http::field::etag, "\"" + object + "\"");
	}
	head.content_length(size);
	const body_pattern pattern(content);
	const bool cut = 0.0 < m_faults.cut_share && draw_fraction() < m_faults.cut_share;
	std::vector<char> piece(std::min<std::uint64_t>(size, k_piece));
	std::uint64_t sent = 0;
	bool open = true;
	if (size <= k_piece && !cut)
	{
		finish_run(_run);
	}
	open = _session.send_head(head, body_end::framed, _yield);
	while (open && sent < size && !_run->cancelled)
	{
		const std::size_t part = std::min<std::uint64_t>(piece.size(), size - sent);
		pattern.fill(piece.data(), part, sent);
		sent += part;
		if (sent == size)
		{
			finish_run(_run);
		}
		if (cut && size / 2 <= sent)
		{
			break;
		}
		open = _session.send_piece(piece.data(), part, _yield);
	}
	if (!open || sent < size || _run->cancelled || cut)
	{
		_session.close();
		return;
	}
	_session.send_end(_yield);
}

void fake_backend::finish_run(const run_ptr& _run)
{
	if (_run->ended)
	{
		return;
	}
	_run->ended = true;
	--m_running;
	m_active.erase(_run->id);
	m_runs.write({{"type", "run"}, {"backend", m_options.name}, {"id", _run->id}, {"key", _run->key},
	    {"kind", _run->kind}, {"start", _run->start}, {"end", to_us(m_clock.wall())},
	    {"running", _run->running}, {"slots", m_options.slots}, {"cancelled", _run->cancelled}});
}
} // namespace larkrack
