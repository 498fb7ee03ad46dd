// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Structured log to standard output, one JSON object a line, bounded in memory and never waiting for its
/// reader. Owns the lines that wait. Relies on its owner to call flush() at a steady interval.
#pragma once

#include "base/events_p.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace larkrack
{
/// One line of the log, put together field by field.
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

/// Collects lines and hands them to a descriptor as fast as that takes them. What does not fit is dropped and
/// counted.
class entry_log
{
public:
	/// @param[in] _node Stands in each line.
	/// @param[in] _descriptor Where lines go; negative: nowhere.
	/// @param[in] _most_bytes Bytes that wait at most.
	explicit entry_log(std::string _node, int _descriptor = 1, std::size_t _most_bytes = 64UL * 1024);

	/// Adds a line.
	void write(const log_line& _line);
	/// Hands over what the descriptor takes at once. Call it at a steady interval.
	void flush();
	/// @returns Lines that were dropped since the start.
	std::uint64_t dropped() const
	{
		return m_dropped;
	}
	/// @returns Bytes that wait.
	std::size_t pending() const
	{
		return m_pending.size();
	}
	/// @returns Whether the line of a good outcome of this request is kept. All nodes agree on it.
	static bool sampled(std::string_view _request_id);

private:
	void append(const log_line& _line);
	std::string m_node;
	int m_descriptor;
	std::size_t m_most_bytes;
	std::string m_pending;
	std::uint64_t m_dropped = 0;
	std::uint64_t m_dropped_told = 0;
};
} // namespace larkrack
