// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/backend_words_p.h"

namespace larkrack
{
backend_reports::backend_reports(asio::io_context& _context, const clock_base& _clock,
    limit_admission_base& _limits, entry_log& _log, std::function<void()> _on_rest_end)
    : m_clock(_clock), m_limits(_limits), m_log(_log), m_on_rest_end(std::move(_on_rest_end)),
      m_timer(_context)
{
}

void backend_reports::on_backend_report(const backend_ptr& _backend, const backend_report& _reports)
{
	m_invalid_work_times += _reports.invalid_slowness ? 1 : 0;
	if (_reports.limit)
	{
		m_limits.on_limit_report(*_backend, *_reports.limit);
	}
	if (_reports.rest)
	{
		on_rest(_backend, *_reports.rest);
	}
	if (_reports.leaving)
	{
		on_leaving(*_backend);
	}
}

void backend_reports::on_rest(const backend_ptr& _backend, steady_time::duration _rest)
{
	++m_rests_asked;
	const steady_time now = m_clock.steady();
	const steady_time previous_end = _backend->rest.until();
	if (!_backend->rest.take_report(_rest, now))
	{
		return;
	}
	const bool was_resting = m_resting.erase({previous_end, _backend.get()}) > 0;
	m_resting.emplace(rest_end{_backend->rest.until(), _backend.get()}, _backend);
	if (!was_resting)
	{
		log_rest(*_backend, "begins", to_ms(_rest));
	}
	schedule_next_end();
}

void backend_reports::schedule_next_end()
{
	if (m_resting.empty())
	{
		return;
	}
	m_timer.expires_after(m_resting.begin()->first.first - m_clock.steady());
	m_timer.async_wait(
	    [this](beast::error_code _error)
	    {
		    if (!_error)
		    {
			    end_rests();
		    }
	    });
}

void backend_reports::on_leaving(backend_server& _backend)
{
	if (_backend.reported_leaving)
	{
		return;
	}
	_backend.reported_leaving = true;
	m_log.write(log_line(event::backend_leaving)
	                .text("backend", _backend.registered.id.text)
	                .text("service", _backend.registered.service.text));
}

void backend_reports::end_rests()
{
	const steady_time now = m_clock.steady();
	while (!m_resting.empty() && m_resting.begin()->first.first <= now)
	{
		const backend_ptr backend = m_resting.begin()->second;
		m_resting.erase(m_resting.begin());
		log_rest(*backend, "ends", std::chrono::milliseconds(0));
	}
	schedule_next_end();
	m_on_rest_end();
}

void backend_reports::log_rest(
    const backend_server& _backend, const char* _state, std::chrono::milliseconds _rest)
{
	m_log.write(log_line(event::backend_resting)
	                .text("backend", _backend.registered.id.text)
	                .text("service", _backend.registered.service.text)
	                .text("state", _state)
	                .number("rest_ms", _rest.count()));
}
} // namespace larkrack
