// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/fair_queue_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
std::size_t kind_of(bool _returning)
{
	return _returning ? 0 : 1;
}
} // namespace

double valid_weight(double _weight)
{
	return _weight >= k_min_group_weight ? std::min(_weight, k_max_group_weight) : k_min_group_weight;
}

fair_queue_level::waiting_requests::iterator fair_queue_level::add(
    request_number _request, group_id _group, double _weight, bool _returning)
{
	group_state& state = m_groups[_group];
	state.weight = valid_weight(_weight);
	if (state.idle())
	{
		m_idle.erase({state.finish, _group});
		state.start = std::max(m_virtual_time, state.finish);
	}
	waiting_requests& waiting = state.waiting[kind_of(_returning)];
	waiting.push_back({_request, ++m_arrivals});
	++m_size;
	place(_group, state);
	return std::prev(waiting.end());
}

void fair_queue_level::remove(waiting_requests::iterator _request, group_id _group, bool _returning)
{
	group_state& state = m_groups[_group];
	unplace(state);
	state.waiting[kind_of(_returning)].erase(_request);
	--m_size;
	if (state.idle())
	{
		m_idle.insert({state.finish, _group});
		forget_idle_groups();
		return;
	}
	place(_group, state);
}

void fair_queue_level::on_sent(group_id _group, double _weight, bool _waited)
{
	group_state& state = m_groups[_group];
	state.weight = valid_weight(_weight);
	m_idle.erase({state.finish, _group});
	const double start = std::max(m_virtual_time, state.finish);
	state.finish = start + 1.0 / state.weight;
	if (_waited)
	{
		// A request that was sent without waiting does not move the virtual time: its tag may lie beyond
		// those of the groups that wait.
		m_virtual_time = start;
	}
	if (state.idle())
	{
		m_idle.insert({state.finish, _group});
	}
	else
	{
		unplace(state);
		state.start = state.finish;
		place(_group, state);
	}
	forget_idle_groups();
}

std::size_t fair_queue_level::ahead_of(group_id _group, double _weight, bool _returning) const
{
	const std::size_t kind = kind_of(_returning);
	const auto found = m_groups.find(_group);
	const bool known = m_groups.end() != found;
	const std::size_t of_group = known ? found->second.waiting[kind].size() : 0;
	double start = m_virtual_time;
	if (known)
	{
		start = found->second.idle() ? std::max(start, found->second.finish) : found->second.start;
	}
	start += static_cast<double>(of_group) / valid_weight(_weight);
	std::size_t ahead = of_group;
	for (const position& other : m_order[kind])
	{
		if (other.start > start)
		{
			break;
		}
		if (other.group == _group)
		{
			continue;
		}
		const group_state& state = m_groups.at(other.group);
		const double with_lower_tags = std::floor((start - other.start) * state.weight) + 1.0;
		ahead += std::min(state.waiting[kind].size(), static_cast<std::size_t>(with_lower_tags));
	}
	if (_returning)
	{
		return ahead;
	}
	for (const position& other : m_order[0])
	{
		ahead += m_groups.at(other.group).waiting[0].size();
	}
	return ahead;
}

void fair_queue_level::place(group_id _group, group_state& _state)
{
	for (std::size_t kind = 0; kind < 2; ++kind)
	{
		if (!_state.place[kind] && !_state.waiting[kind].empty())
		{
			const position added{_state.start, _group, _state.waiting[kind].begin()};
			_state.place[kind] = m_order[kind].insert(added).first;
		}
	}
}

void fair_queue_level::unplace(group_state& _state)
{
	for (std::size_t kind = 0; kind < 2; ++kind)
	{
		if (_state.place[kind])
		{
			m_order[kind].erase(*_state.place[kind]);
			_state.place[kind].reset();
		}
	}
}

void fair_queue_level::forget_idle_groups()
{
	while (!m_idle.empty() && (m_idle.begin()->first <= m_virtual_time || m_idle.size() > k_max_idle_groups))
	{
		m_groups.erase(m_idle.begin()->second);
		m_idle.erase(m_idle.begin());
	}
}

void fair_queue::add(const admission_request& _request, bool _returning)
{
	if (m_requests.count(_request.number.value) > 0)
	{
		return;
	}
	fair_queue_level& level = m_levels[_request.rank];
	const auto at = level.add(_request.number, _request.group, _request.weight, _returning);
	m_requests[_request.number.value] = {_request.rank, _request.group, _returning, at};
}

bool fair_queue::remove(request_number _request)
{
	const auto found = m_requests.find(_request.value);
	if (m_requests.end() == found)
	{
		return false;
	}
	const waiting_request& removed = found->second;
	const auto level = m_levels.find(removed.rank);
	level->second.remove(removed.at, removed.group, removed.returning);
	if (0 == level->second.size())
	{
		m_levels.erase(level);
	}
	m_requests.erase(found);
	m_last_removed = _request;
	return true;
}

void fair_queue::on_sent(const admission_request& _request)
{
	const bool waited = m_last_removed == _request.number || m_requests.count(_request.number.value) > 0;
	const auto level = m_levels.find(_request.rank);
	if (m_levels.end() != level)
	{
		level->second.on_sent(_request.group, _request.weight, waited);
	}
}

std::size_t fair_queue::size(const urgency& _rank) const
{
	const auto level = m_levels.find(_rank);
	return m_levels.end() == level ? 0 : level->second.size();
}

std::size_t fair_queue::ahead_of(const admission_request& _request, bool _returning) const
{
	std::size_t ahead = 0;
	for (const auto& [rank, level] : m_levels)
	{
		if (_request.rank < rank)
		{
			break;
		}
		ahead += _request.rank == rank ? level.ahead_of(_request.group, _request.weight, _returning)
		                               : level.size();
	}
	return ahead;
}

std::size_t fair_queue::groups() const
{
	std::size_t groups = 0;
	for (const auto& [rank, level] : m_levels)
	{
		groups += level.groups();
	}
	return groups;
}
} // namespace larkrack
