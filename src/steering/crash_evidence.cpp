// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/crash_evidence_p.h"

#include <algorithm>
#include <set>

namespace larkrack
{
namespace
{
/// @returns Number of distinct backend servers among the crashes that meet a condition.
template <typename Condition>
std::size_t distinct_backends(const std::deque<crash_record>& _ends, Condition _condition)
{
	std::set<std::uint32_t> incarnations;
	for (const crash_record& one : _ends)
	{
		if (_condition(one))
		{
			incarnations.insert(one.incarnation);
		}
	}
	return incarnations.size();
}

bool counts_for_all(const crash_record& _crash)
{
	return !_crash.caller_only;
}
} // namespace

std::optional<request_fingerprint> crash_evidence::on_crash(
    const request_fingerprint& _request, const crash_record& _crash)
{
	const auto [it, is_new] = m_by_content.try_emplace(_request.content);
	suspect& found = it->second;
	if (is_new)
	{
		found.head = _request.head;
		++m_heads[_request.head];
		m_order.push_back(_request.content);
	}
	const bool already_counted = std::any_of(found.crashes.begin(), found.crashes.end(),
	    [&_crash](const crash_record& _other)
	    {
		    return _other.incarnation == _crash.incarnation && _other.caller == _crash.caller;
	    });
	if (!already_counted)
	{
		found.crashes.push_back(_crash);
	}
	if (found.crashes.size() > k_max_crashes_per_request)
	{
		found.crashes.pop_front();
	}
	std::optional<request_fingerprint> blamed;
	if (crash_count(_request) >= k_crashes_to_block)
	{
		blamed = _request;
	}
	else if (distinct_backends(found.crashes, counts_for_all) >= k_crashes_to_block)
	{
		blamed = request_fingerprint{_request.head, _request.content, k_any_caller};
	}
	if (m_by_content.size() > k_max_suspects)
	{
		forget(m_by_content.find(m_order.front()));
	}
	return blamed;
}

void crash_evidence::on_served(const request_fingerprint& _request)
{
	const auto it = m_by_content.find(_request.content);
	if (m_by_content.end() == it)
	{
		return;
	}
	// A request that is served for one caller may still crash servers for another caller, but not for all.
	std::deque<crash_record>& crashes = it->second.crashes;
	crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
	                  [&_request](const crash_record& _crash)
	                  {
		                  return k_any_caller == _request.caller || _crash.caller == _request.caller;
	                  }),
	    crashes.end());
	for (crash_record& one : crashes)
	{
		one.caller_only = true;
	}
	if (crashes.empty())
	{
		forget(it);
	}
}

std::size_t crash_evidence::crash_count(const request_fingerprint& _request) const
{
	const auto it = m_by_content.find(_request.content);
	if (m_by_content.end() == it)
	{
		return 0;
	}
	return distinct_backends(it->second.crashes,
	    [&_request](const crash_record& _crash)
	    {
		    return _crash.caller == _request.caller;
	    });
}

void crash_evidence::tick(steady_time _now)
{
	for (auto it = m_by_content.begin(); it != m_by_content.end();)
	{
		const auto next = std::next(it);
		std::deque<crash_record>& crashes = it->second.crashes;
		while (!crashes.empty() && _now - crashes.front().at > k_crash_retention)
		{
			crashes.pop_front();
		}
		if (crashes.empty())
		{
			forget(it);
		}
		it = next;
	}
}

void crash_evidence::forget(std::map<std::uint64_t, suspect>::iterator _suspect)
{
	const auto head = m_heads.find(_suspect->second.head);
	if (0 == --head->second)
	{
		m_heads.erase(head);
	}
	m_order.erase(std::find(m_order.begin(), m_order.end(), _suspect->first));
	m_by_content.erase(_suspect);
}
} // namespace larkrack
