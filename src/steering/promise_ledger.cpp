// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/promise_ledger_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Number of promises that are checked: 64 KiB of memory. More: memory. Fewer: a breach that comes seconds
/// after its promise is missed at a node that refuses much.
constexpr std::size_t k_max_checked_promises = 2048;
/// Entries among which a new promise takes the place of the oldest. More: longer look-ups.
constexpr std::size_t k_entries_per_set = 4;

std::uint64_t hash_of(std::string_view _request_id)
{
	return std::max<std::uint64_t>(1, rendezvous_weight(_request_id, 0));
}

std::size_t first_of_set(std::uint64_t _hash)
{
	return _hash % (k_max_checked_promises / k_entries_per_set) * k_entries_per_set;
}
} // namespace

const char* to_string(promise_breach_kind _kind)
{
	return promise_breach_kind::sent == _kind ? "sent" : "ran";
}

void promise_ledger::record(std::string_view _request_id, unsigned _status, steady_time _now)
{
	if (_request_id.empty())
	{
		return;
	}
	++m_promises;
	m_entries.resize(k_max_checked_promises);
	const std::uint64_t hash = hash_of(_request_id);
	const auto first = m_entries.begin() + static_cast<std::ptrdiff_t>(first_of_set(hash));
	const auto oldest = std::min_element(first, first + k_entries_per_set,
	    [](const entry& _a, const entry& _b)
	    {
		    return _a.at < _b.at;
	    });
	*oldest = {hash, _now, _status};
}

void promise_ledger::check(std::string_view _request_id, promise_breach_kind _kind, const clock_base& _clock)
{
	if (m_entries.empty() || _request_id.empty())
	{
		return;
	}
	const std::uint64_t hash = hash_of(_request_id);
	const auto first = m_entries.begin() + static_cast<std::ptrdiff_t>(first_of_set(hash));
	const auto last = first + k_entries_per_set;
	const auto found = std::find_if(first, last,
	    [hash](const entry& _entry)
	    {
		    return hash == _entry.id_hash;
	    });
	if (last == found)
	{
		return;
	}
	++m_breaches;
	if (m_handler)
	{
		m_handler({_request_id, _kind, found->status, _clock.steady() - found->at});
	}
}
} // namespace larkrack
