// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/config_replica_p.h"

namespace larkrack
{
namespace
{
/// Number of latest changes whose keys are kept, so that a peer with an older revision gets a difference
/// instead of the whole configuration. More costs memory (keys only) and spares whole transfers to peers that
/// were disconnected for longer.
constexpr std::size_t k_max_kept_changes = 1000;
} // namespace

void config_replica::record_changes(const config_state& _next)
{
	change one{m_state.rev, _next.rev, {}};
	for (const auto& [key, value] : _next.resources)
	{
		const auto it = m_state.resources.find(key);
		if (m_state.resources.end() == it || !(it->second.rev == value.rev))
		{
			one.keys.push_back(key);
		}
	}
	for (const auto& [key, value] : m_state.resources)
	{
		if (0 == _next.resources.count(key))
		{
			one.keys.push_back(key);
		}
	}
	m_kept_changes.push_back(std::move(one));
	if (k_max_kept_changes < m_kept_changes.size())
	{
		m_kept_changes.pop_front();
	}
}

apply_status config_replica::apply(config_state _state)
{
	if (!(m_state.rev < _state.rev))
	{
		return apply_status::not_newer;
	}
	auto built = build_policy(_state, &m_state, m_policy);
	if (auto* mistakes = std::get_if<std::vector<mistake>>(&built))
	{
		m_mistakes = std::move(*mistakes);
		return apply_status::invalid;
	}
	record_changes(_state);
	m_state = std::move(_state);
	m_policy = std::get<policy_ptr>(built);
	return apply_status::applied;
}

apply_status config_replica::apply(const message_config& _message)
{
	if (!(m_state.rev < _message.rev))
	{
		return apply_status::not_newer;
	}
	const bool whole = 0 == _message.base.value;
	// Changes since an older base contain the whole difference up to their revision, so they can be applied
	// to any revision between the two.
	if (!whole && m_state.rev < _message.base)
	{
		return apply_status::unknown_base;
	}
	config_state next;
	next.rev = _message.rev;
	if (!whole)
	{
		next.resources = m_state.resources;
	}
	for (const auto& [key, value] : _message.changed)
	{
		next.resources[key] = value;
	}
	for (const std::string& key : _message.removed)
	{
		next.resources.erase(key);
	}
	return apply(std::move(next));
}

message_config config_replica::changes_since(revision _have) const
{
	message_config reply;
	reply.rev = m_state.rev;
	const bool known = !m_kept_changes.empty() && !(_have < m_kept_changes.front().base) && 0 < _have.value;
	if (!known)
	{
		reply.changed = m_state.resources;
		return reply;
	}
	reply.base = _have;
	for (const change& one : m_kept_changes)
	{
		if (!(_have < one.rev))
		{
			continue;
		}
		for (const std::string& key : one.keys)
		{
			const auto it = m_state.resources.find(key);
			if (m_state.resources.end() == it)
			{
				reply.removed.push_back(key);
			}
			else
			{
				reply.changed[key] = it->second;
			}
		}
	}
	return reply;
}
} // namespace larkrack
