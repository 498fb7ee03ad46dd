// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/entry_log_p.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <poll.h>
#include <unistd.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace larkrack
{
namespace
{
/// Bytes that a writable pipe takes without blocking: PIPE_BUF of Linux, see pipe(7).
constexpr std::size_t k_write_chunk = 4096;
/// One in this many successful requests is logged. Lower: a larger log. Higher: fewer requests can be looked
/// up.
constexpr std::uint64_t k_sample_divisor = 16;

/// Appends a text as a JSON string. nlohmann's dump() is not used: it writes other escapes ("\n" for a line
/// feed, where the log has a numeric escape) and throws on invalid UTF-8, which a caller's request id may
/// contain.
void append_quoted(std::string& _out, std::string_view _text)
{
	_out += '"';
	for (const char letter : _text)
	{
		if ('"' == letter || '\\' == letter)
		{
			_out += '\\';
			_out += letter;
		}
		else if (static_cast<unsigned char>(letter) < 0x20)
		{
			char escaped[8];
			std::snprintf(escaped, sizeof(escaped), "\\u%04x", static_cast<unsigned char>(letter));
			_out += escaped;
		}
		else
		{
			_out += letter;
		}
	}
	_out += '"';
}
} // namespace

void log_line::begin_field(std::string_view _name)
{
	m_fields += ',';
	append_quoted(m_fields, _name);
	m_fields += ':';
}

log_line& log_line::text(std::string_view _name, std::string_view _value)
{
	begin_field(_name);
	append_quoted(m_fields, _value);
	return *this;
}

log_line& log_line::number(std::string_view _name, std::int64_t _value)
{
	begin_field(_name);
	m_fields += std::to_string(_value);
	return *this;
}

log_line& log_line::decimal(std::string_view _name, double _value)
{
	begin_field(_name);
	char text[32];
	std::snprintf(text, sizeof(text), "%.3f", _value);
	m_fields += text;
	return *this;
}

entry_log::entry_log(std::string _node, int _descriptor, std::size_t _max_pending_bytes)
    : m_node(std::move(_node)), m_descriptor(_descriptor), m_max_pending_bytes(_max_pending_bytes)
{
}

void entry_log::append(const log_line& _line)
{
	const auto now = std::chrono::system_clock::now().time_since_epoch();
	m_pending += "{\"t_us\":";
	m_pending += std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
	m_pending += ",\"node\":";
	append_quoted(m_pending, m_node);
	m_pending += ",\"event\":";
	m_pending += std::to_string(static_cast<int>(_line.m_event));
	m_pending += ",\"name\":";
	append_quoted(m_pending, info_of(_line.m_event).name);
	m_pending += _line.m_fields;
	m_pending += "}\n";
}

void entry_log::write(const log_line& _line)
{
	if (m_descriptor < 0)
	{
		return;
	}
	if (m_pending.size() + _line.m_fields.size() > m_max_pending_bytes)
	{
		++m_dropped;
		return;
	}
	append(_line);
}

void entry_log::flush()
{
	if (m_dropped != m_dropped_reported && m_pending.size() < m_max_pending_bytes / 2)
	{
		log_line line(event::log_dropped);
		line.number("lines", static_cast<std::int64_t>(m_dropped - m_dropped_reported));
		m_dropped_reported = m_dropped;
		append(line);
	}
	std::size_t done = 0;
	while (done < m_pending.size())
	{
		pollfd ready{m_descriptor, POLLOUT, 0};
		if (poll(&ready, 1, 0) <= 0 || 0 == (ready.revents & POLLOUT))
		{
			break;
		}
		const std::size_t piece = std::min(k_write_chunk, m_pending.size() - done);
		const ssize_t written = ::write(m_descriptor, m_pending.data() + done, piece);
		if (written <= 0)
		{
			break; // The bytes stay for a later flush. write() counts the lines that do not fit meanwhile.
		}
		done += static_cast<std::size_t>(written);
	}
	m_pending.erase(0, done);
}

bool entry_log::sampled(std::string_view _request_id)
{
	return 0 == XXH64(_request_id.data(), _request_id.size(), 0) % k_sample_divisor;
}
} // namespace larkrack
