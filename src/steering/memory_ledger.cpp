// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/memory_ledger_p.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace larkrack
{
namespace
{
/// Part of the process's memory for all that is held for connections.
constexpr double k_held_share = 0.65;
/// Part of that which only small holders may have.
constexpr double k_small_reserve = 0.0625;
/// Part of it for responses without a stated length, whose texts are copied as they grow.
constexpr double k_growing_share = 0.4;
/// Maximum bytes of a holder that is not looked at when another one needs room: an idle connection's.
constexpr std::uint64_t k_idle_bytes = 8192;
} // namespace

const char* to_string(memory_use _use)
{
	switch (_use)
	{
	case memory_use::connection:
		return "connection";
	case memory_use::incoming_request:
		return "incoming_request";
	case memory_use::request:
		return "request";
	case memory_use::response:
		return "response";
	case memory_use::growing_response:
		return "growing_response";
	case memory_use::outgoing_response:
		break;
	}
	return "outgoing_response";
}

void memory_ledger::set_limits(int _max_response_mb, std::optional<int> _process_mb)
{
	m_max_response_bytes = static_cast<std::uint64_t>(_max_response_mb) << 20U;
	if (_process_mb)
	{
		const double held = k_held_share * static_cast<double>(*_process_mb) * (1U << 20U);
		m_max_held = static_cast<std::uint64_t>(held);
		m_max_large = static_cast<std::uint64_t>((1.0 - k_small_reserve) * held);
		m_max_growing = static_cast<std::uint64_t>(k_growing_share * held);
	}
}

void memory_ledger::add(const memory_claim& _claim)
{
	m_held += _claim.m_bytes;
	m_by_use[static_cast<std::size_t>(_claim.m_use)] += _claim.m_bytes;
	if (_claim.m_bytes > k_small_bytes)
	{
		m_large += _claim.m_bytes;
		m_fixed += nullptr == _claim.m_holder ? _claim.m_bytes : 0;
	}
}

void memory_ledger::remove(const memory_claim& _claim)
{
	m_held -= _claim.m_bytes;
	m_by_use[static_cast<std::size_t>(_claim.m_use)] -= _claim.m_bytes;
	if (_claim.m_bytes > k_small_bytes)
	{
		m_large -= _claim.m_bytes;
		m_fixed -= nullptr == _claim.m_holder ? _claim.m_bytes : 0;
	}
}

memory_ledger::rank memory_ledger::rank_of(const memory_claim& _claim) const
{
	if (_claim.m_bytes <= k_small_bytes)
	{
		return rank::small;
	}
	if (_claim.m_change <= m_stalled_changes)
	{
		return rank::stalled;
	}
	switch (_claim.m_use)
	{
	case memory_use::growing_response:
		return rank::growing;
	case memory_use::outgoing_response:
		return rank::outgoing;
	default:
		return rank::reading;
	}
}

memory_claim* memory_ledger::choose() const
{
	const bool too_many_grow = held(memory_use::growing_response) > m_max_growing;
	const auto order = [this, too_many_grow](const memory_claim* _claim)
	{
		const bool must_end = too_many_grow && memory_use::growing_response == _claim->m_use;
		const rank place = rank_of(*_claim);
		return std::make_tuple(
		    must_end, place, rank::small == place ? 0 : _claim->m_bytes, UINT64_MAX - _claim->m_change);
	};
	const auto it = std::max_element(m_endable.begin(), m_endable.end(),
	    [&order](const memory_claim* _left, const memory_claim* _right)
	    {
		    return order(_left) < order(_right);
	    });
	return m_endable.end() == it ? nullptr : *it;
}

void memory_ledger::tick(steady_time _now)
{
	if (_now - m_marked_at >= k_stall_time)
	{
		m_marked_at = _now;
		m_stalled_changes = std::exchange(m_marked_changes, m_changes);
	}
}

void memory_ledger::make_room()
{
	while (m_held > m_max_held || m_large > m_max_large || held(memory_use::growing_response) > m_max_growing)
	{
		memory_claim* const ended = choose();
		if (nullptr == ended)
		{
			return;
		}
		const memory_use use = ended->m_use;
		const std::uint64_t bytes = ended->m_bytes;
		++m_ends[static_cast<std::size_t>(use)];
		ended->release();
		if (nullptr != m_listener)
		{
			m_listener->on_memory_end(use, bytes);
		}
		ended->m_holder->end_for_memory();
	}
}

void memory_claim::set(std::uint64_t _bytes, memory_use _use)
{
	if (nullptr == m_ledger || (_bytes == m_bytes && _use == m_use))
	{
		return;
	}
	memory_ledger& ledger = *m_ledger;
	const bool grows = _bytes > m_bytes;
	ledger.remove(*this);
	m_bytes = _bytes;
	m_use = _use;
	m_change = ++ledger.m_changes;
	ledger.add(*this);
	if (nullptr != m_holder && _bytes > k_idle_bytes)
	{
		ledger.m_endable.insert(this);
	}
	else
	{
		ledger.m_endable.erase(this);
	}
	if (grows)
	{
		const memory_ledger_ptr held = m_ledger; // An end below may destroy the claim.
		held->make_room();
	}
}

void memory_claim::touch()
{
	if (nullptr != m_ledger)
	{
		m_change = ++m_ledger->m_changes;
	}
}

void memory_claim::release()
{
	set(0, m_use);
}
} // namespace larkrack
