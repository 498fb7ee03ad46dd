// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/response_memory_p.h"

#include <algorithm>
#include <utility>

namespace larkrack
{
namespace
{
/// Part of the process's memory for all responses that are being read.
constexpr double k_response_share = 0.65;
/// Part of that for responses without a stated length, whose texts are copied as they grow.
constexpr double k_growing_share = 0.4;
} // namespace

void response_memory::set_limits(int _max_response_mb, std::optional<int> _process_mb)
{
	m_max_response_bytes = static_cast<std::uint64_t>(_max_response_mb) << 20U;
	if (_process_mb)
	{
		const double bytes = k_response_share * static_cast<double>(*_process_mb) * (1U << 20U);
		m_max_held = static_cast<std::uint64_t>(bytes);
	}
}

response_holder_base* response_memory::choose() const
{
	const auto order = [](const auto& _one)
	{
		return std::make_pair(!_one.second.has_length, _one.second.bytes);
	};
	const auto it = std::max_element(m_holders.begin(), m_holders.end(),
	    [&](const auto& _left, const auto& _right)
	    {
		    return order(_left) < order(_right);
	    });
	return m_holders.end() == it ? nullptr : it->first;
}

bool response_memory::exceeded() const
{
	const double max_growing = k_growing_share * static_cast<double>(m_max_held);
	if (static_cast<double>(m_held) <= max_growing)
	{
		return false;
	}
	std::uint64_t growing = 0;
	for (const auto& [holder, held] : m_holders)
	{
		growing += held.has_length ? 0 : held.bytes;
	}
	return m_held > m_max_held || static_cast<double>(growing) > max_growing;
}

void response_memory::set(response_holder_base& _holder, std::uint64_t _bytes, bool _has_length)
{
	holding& own = m_holders[&_holder];
	m_held += _bytes - own.bytes;
	own = {_bytes, _has_length};
	while (exceeded())
	{
		response_holder_base* ended = choose();
		if (nullptr == ended)
		{
			return;
		}
		release(*ended);
		ended->end_for_memory();
	}
}

void response_memory::release(response_holder_base& _holder)
{
	const auto it = m_holders.find(&_holder);
	if (m_holders.end() == it)
	{
		return;
	}
	m_held -= it->second.bytes;
	m_holders.erase(it);
}
} // namespace larkrack
