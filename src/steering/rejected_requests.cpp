// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/rejected_requests_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>

namespace larkrack
{
void rejected_requests::add(std::string_view _request_id, steady_time _until, steady_time _now)
{
	const auto is_over = [_now](const entry& _entry)
	{
		return _entry.until <= _now;
	};
	m_entries.erase(std::remove_if(m_entries.begin(), m_entries.end(), is_over), m_entries.end());
	m_entries.push_back({rendezvous_weight(_request_id, 0), _until});
}

bool rejected_requests::permits(std::string_view _request_id) const
{
	if (m_entries.empty())
	{
		return true;
	}
	const std::uint64_t hash = rendezvous_weight(_request_id, 0);
	return std::none_of(m_entries.begin(), m_entries.end(),
	    [hash](const entry& _entry)
	    {
		    return _entry.id_hash == hash;
	    });
}
} // namespace larkrack
