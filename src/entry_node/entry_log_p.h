// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Structured log to standard output: one JSON object per line, with bounded memory and non-blocking writes.
/// Owns the lines that are not written yet. Relies on its owner to call flush() at a steady interval.
#pragma once

#include "base/events_p.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace larkrack
{
/// Builder of one log line, field by field.
class log_line
{
public:
	explicit log_line(event _event) : m_event(_event)
	{
	}
	log_line& text(std::string_view _name, std::string_view _value);
	log_line& number(std::string_view _name, std::int64_t _value);
	log_line& decimal(std::string_view _name, double _value);

private:
	friend class entry_log;
	void begin_field(std::string_view _name);

	event m_event;
	std::string m_fields;
};

/// Buffers log lines and writes them to a descriptor as fast as its reader takes them. Lines that do not fit
/// into the buffer are dropped and counted.
class entry_log
{
public:
	/// @param[in] _node Name of this node, a field of every line.
	/// @param[in] _descriptor Descriptor that lines are written to; negative: lines are discarded.
	/// @param[in] _max_pending_bytes Maximum size of the buffer, in bytes.
	explicit entry_log(std::string _node, int _descriptor = 1, std::size_t _max_pending_bytes = 64UL * 1024);

	/// Adds a line to the buffer, or drops it when the buffer is full.
	void write(const log_line& _line);
	/// Writes as much of the buffer as the descriptor takes without blocking. Call it at a steady interval.
	void flush();
	/// @returns Number of lines dropped since the start.
	std::uint64_t dropped() const
	{
		return m_dropped;
	}
	/// @returns Bytes in the buffer.
	std::size_t pending() const
	{
		return m_pending.size();
	}
	/// @returns Whether a successful request with this id is logged. All nodes sample the same request ids.
	static bool sampled(std::string_view _request_id);

private:
	void append(const log_line& _line);
	std::string m_node;
	int m_descriptor;
	std::size_t m_max_pending_bytes;
	std::string m_pending;
	std::uint64_t m_dropped = 0;
	std::uint64_t m_dropped_reported = 0;
};
} // namespace larkrack
