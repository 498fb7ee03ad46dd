// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/report_reader_p.h"

namespace larkrack
{
namespace
{
bool has_header(const report_reader::response_head& _head, const std::string& _name)
{
	return _head.end() != _head.find(_name);
}
} // namespace

report_reader::report_reader(const clock_base& _clock, const header_names& _names,
    backend_report_listener_base& _listener, backend_ptr _backend, bool _counted)
    : m_clock(_clock), m_names(_names), m_listener(_listener), m_backend(std::move(_backend)),
      m_counted(_counted)
{
}

bool report_reader::is_from_backend(const response_head& _head) const
{
	return has_header(_head, m_names.not_run) || has_header(_head, m_names.signature) ||
	       has_header(_head, m_names.request_id);
}

void report_reader::read(const response_head& _head, bool _current)
{
	if (!is_from_backend(_head))
	{
		return;
	}
	backend_report report =
	    parse_backend_report(_head, m_names, !has_header(_head, m_names.not_run), m_clock.steady());
	if (!_current)
	{
		report.load.reset();
		report.slowness.reset();
		report.limit.reset();
	}
	if (report.load)
	{
		apply_load(report);
	}
	m_listener.on_backend_report(m_backend, report);
}

void report_reader::apply_load(const backend_report& _report)
{
	// The reported load no longer includes the exchange that ends now.
	const int counted = m_counted ? 1 : 0;
	m_backend->load.in_flight -= counted;
	const steady_time now = m_clock.steady();
	m_backend->load.on_report(*_report.load, now);
	m_backend->load.in_flight += counted;
	m_reported_free_slot = _report.load->has_free_slot();
	if (_report.slowness)
	{
		m_backend->slowness.on_report(*_report.slowness, now);
	}
}
} // namespace larkrack
