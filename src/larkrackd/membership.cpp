// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/membership_p.h"

#include "larkrackd/hash_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
// The figures below trade bytes and processor time of a node against the time until news have reached all.
// They were set together by their slopes over the number of nodes; what they give for 3 to 460 nodes stands
// in docs/CAPACITY.md. None was varied by itself.

/// Fleet size in entry VMs up to which the interval stays the shortest and all news fit into one heartbeat;
/// above, the interval grows by one k_heartbeat_interval for each further such number.
constexpr std::size_t k_small_fleet = 12;
/// Longest interval as a multiple of k_heartbeat_interval. Higher saves bytes in large fleets and finds a
/// silent entry VM later.
constexpr std::size_t k_interval_factor_most = 4;
/// Entries of the own failure domain that one heartbeat within it passes on, at most.
constexpr std::size_t k_news_near = 6;
/// Entries of other failure domains that one heartbeat within the own one passes on, at most, in large
/// fleets.
constexpr std::size_t k_news_far = 4;
/// Entries of its own failure domain that a delegate's heartbeat to another one holds, at most.
constexpr std::size_t k_news_delegate = 16;
/// A delegate sends to other failure domains once in this many rounds, in fleets up to k_small_fleet.
constexpr std::size_t k_far_rounds_small = 2;
/// The same in larger fleets.
constexpr std::size_t k_far_rounds_large = 4;
/// Silence in intervals after which a member of the own failure domain is suspected. Fewer finds a dead one
/// sooner and suspects one whose control thread was busy (while it builds the client table:
/// docs/CAPACITY.md).
constexpr std::size_t k_suspect_intervals = 4;
/// The same for members of other failure domains, whose news come through delegates. Not measured.
constexpr std::size_t k_suspect_intervals_far = 12;
/// In large fleets news arrive in turn; this many turns of silence are added to the figures above. Not
/// measured.
constexpr std::size_t k_suspect_rounds = 3;

bool is_newer(const member_entry& _a, const member_entry& _b)
{
	if (!(_a.life == _b.life))
	{
		return _b.life < _a.life;
	}
	return _b.sequence < _a.sequence;
}
} // namespace

membership::membership(std::string _self, std::string _domain, incarnation _life)
    : m_domain(std::move(_domain))
{
	m_self.vm = std::move(_self);
	m_self.domain = m_domain;
	m_self.life = _life;
}

void membership::configure(const std::vector<member_config>& _members)
{
	m_domain_of.clear();
	m_domain_size.clear();
	for (const member_config& member : _members)
	{
		m_domain_of[member.vm] = member.domain;
		++m_domain_size[member.domain];
	}
	for (auto it = m_known.begin(); m_known.end() != it;)
	{
		it = 0 == m_domain_of.count(it->first) ? m_known.erase(it) : std::next(it);
	}
}

std::chrono::microseconds membership::interval() const
{
	const std::size_t factor =
	    std::clamp<std::size_t>(m_domain_of.size() / k_small_fleet, 1, k_interval_factor_most);
	return k_heartbeat_interval * static_cast<int>(factor);
}

std::vector<heartbeat> membership::tick(steady_time _now)
{
	if (_now < m_next)
	{
		return {};
	}
	m_next = _now + interval();
	++m_self.sequence;
	++m_round;
	std::vector<heartbeat> due;
	// All targets of a round get the same entries. Drawn for each target, some entries would never reach some
	// targets (docs/MEASUREMENTS.md, What was found by failing).
	const std::vector<member_entry> near_news = news(m_domain, _now);
	for (const std::string& to : targets_near(_now))
	{
		due.push_back({to, near_news});
	}
	if (0 == m_round % far_rounds() && has_role("delegate", k_delegates, _now))
	{
		for (const std::string& to : targets_far(_now))
		{
			due.push_back({to, news(m_domain_of[to], _now)});
		}
	}
	return due;
}

std::size_t membership::far_rounds() const
{
	return m_domain_of.size() <= k_small_fleet ? k_far_rounds_small : k_far_rounds_large;
}

std::vector<std::string> membership::targets_near(steady_time)
{
	std::vector<std::string> near;
	for (const auto& [vm, domain] : m_domain_of)
	{
		if (domain == m_domain && vm != m_self.vm)
		{
			near.push_back(vm);
		}
	}
	if (near.size() <= k_heartbeat_fanout)
	{
		return near;
	}
	// Silent members stay in the rotation, so that they are found again.
	std::vector<std::string> chosen;
	for (std::size_t step = 0; step < k_heartbeat_fanout; ++step)
	{
		chosen.push_back(near[(m_round * k_heartbeat_fanout + step) % near.size()]);
	}
	return chosen;
}

std::vector<std::string> membership::targets_far(steady_time _now)
{
	std::vector<std::string> far;
	for (const auto& [domain, size] : m_domain_size)
	{
		if (domain == m_domain)
		{
			continue;
		}
		std::vector<std::string> delegates = role_of("delegate", k_delegates, domain, _now);
		if (delegates.empty())
		{
			// Nobody is known to answer there: try all in turn.
			for (const auto& [vm, its_domain] : m_domain_of)
			{
				if (its_domain == domain)
				{
					delegates.push_back(vm);
				}
			}
		}
		far.push_back(delegates[(m_round / far_rounds()) % delegates.size()]);
	}
	return far;
}

std::vector<member_entry> membership::news(const std::string& _for_domain, steady_time _now)
{
	std::vector<known*> near;
	std::vector<known*> far;
	for (auto& [vm, one] : m_known)
	{
		(one.entry.domain == m_domain ? near : far).push_back(&one);
	}
	std::vector<member_entry> entries = {m_self};
	// To another failure domain a delegate sends entries of its own one only; within its own, entries of all.
	const bool is_near = _for_domain == m_domain;
	append_news(near, is_near ? k_news_near : k_news_delegate, _now, entries);
	if (is_near)
	{
		// A small fleet fits into one message.
		const bool is_small = m_domain_of.size() <= k_small_fleet;
		append_news(far, is_small ? k_small_fleet : k_news_far, _now, entries);
	}
	return entries;
}

void membership::append_news(
    std::vector<known*>& _from, std::size_t _limit, steady_time _now, std::vector<member_entry>& _entries)
{
	const auto longest_unsent = [](const known* _a, const known* _b)
	{
		return _a->sent < _b->sent;
	};
	const std::size_t count = std::min(_limit, _from.size());
	std::partial_sort(
	    _from.begin(), _from.begin() + static_cast<std::ptrdiff_t>(count), _from.end(), longest_unsent);
	for (std::size_t at = 0; at < count; ++at)
	{
		_from[at]->sent = _now;
		_entries.push_back(_from[at]->entry);
	}
}

void membership::receive(const std::vector<member_entry>& _entries, steady_time _now)
{
	for (const member_entry& entry : _entries)
	{
		if (entry.vm == m_self.vm || 0 == m_domain_of.count(entry.vm))
		{
			continue;
		}
		const auto it = m_known.find(entry.vm);
		if (m_known.end() == it)
		{
			m_known[entry.vm] = {entry, _now, {}};
		}
		else if (is_newer(entry, it->second.entry))
		{
			it->second.entry = entry;
			it->second.heard = _now;
		}
	}
}

member_state membership::state_of(const std::string& _vm, steady_time _now) const
{
	if (_vm == m_self.vm)
	{
		return member_state::alive;
	}
	const auto it = m_known.find(_vm);
	if (m_known.end() == it)
	{
		return member_state::unknown;
	}
	if (it->second.entry.left)
	{
		return member_state::left;
	}
	const auto own = m_domain_size.find(m_domain);
	const std::size_t near_size = m_domain_size.end() == own ? 1 : own->second;
	const std::size_t far_size = m_domain_of.size() - std::min(m_domain_of.size(), near_size);
	const bool near = it->second.entry.domain == m_domain;
	// In small fleets every heartbeat reaches every member; in large ones a member's turn comes round.
	const std::size_t around = near ? near_size / (k_heartbeat_fanout * 2) : far_size / k_news_far;
	const std::size_t patience =
	    (near ? k_suspect_intervals : k_suspect_intervals_far) + k_suspect_rounds * around;
	return interval() * static_cast<int>(patience) < _now - it->second.heard ? member_state::suspected
	                                                                         : member_state::alive;
}

const member_entry* membership::entry_of(const std::string& _vm) const
{
	if (_vm == m_self.vm)
	{
		return &m_self;
	}
	const auto it = m_known.find(_vm);
	return m_known.end() == it ? nullptr : &it->second.entry;
}

std::vector<std::string> membership::alive_in(const std::string& _domain, steady_time _now) const
{
	std::vector<std::string> names;
	for (const auto& [vm, domain] : m_domain_of)
	{
		if (domain == _domain && member_state::alive == state_of(vm, _now))
		{
			names.push_back(vm);
		}
	}
	return names;
}

std::vector<std::string> membership::role_of(
    const char* _role, std::size_t _count, const std::string& _domain, steady_time _now) const
{
	return rendezvous_first(_role, alive_in(_domain, _now), _count);
}

bool membership::has_role(const char* _role, std::size_t _count, steady_time _now) const
{
	const std::vector<std::string> names = role_of(_role, _count, m_domain, _now);
	const bool configured = 0 < m_domain_of.count(m_self.vm);
	return !configured || names.end() != std::find(names.begin(), names.end(), m_self.vm);
}
} // namespace larkrack
