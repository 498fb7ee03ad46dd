// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/membership_p.h"

#include "larkrackd/hash_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
// The constants below trade bytes and processor time of a node against the time until an update has reached
// all nodes. They were set together by their slopes over the number of nodes; docs/CAPACITY.md has the
// results for 3 to 460 nodes. No constant was varied alone.

/// Number of entry VMs up to which the interval stays at its minimum and all entries fit into one heartbeat;
/// above, the interval grows by one k_heartbeat_interval for each further such number.
constexpr std::size_t k_max_small_fleet = 12;
/// Maximum interval as a multiple of k_heartbeat_interval. A higher one saves bytes in large fleets and
/// detects a silent entry VM later.
constexpr std::size_t k_max_interval_factor = 4;
/// Maximum number of entries of the own failure domain in a heartbeat within it.
constexpr std::size_t k_max_own_domain_entries = 6;
/// Maximum number of entries of other failure domains in a heartbeat within the own one, in large fleets.
constexpr std::size_t k_max_other_domain_entries = 4;
/// Maximum number of entries of its own failure domain in a delegate's heartbeat to another one.
constexpr std::size_t k_max_delegate_entries = 16;
/// A delegate sends to other failure domains once in this many intervals, in fleets up to k_max_small_fleet.
constexpr std::size_t k_delegate_rounds_small_fleet = 2;
/// The same in larger fleets.
constexpr std::size_t k_delegate_rounds_large_fleet = 4;
/// Silence in intervals after which a member of the own failure domain is suspected. Fewer detect a crashed
/// member sooner, and suspect one whose control thread was busy (while it builds the client table:
/// docs/CAPACITY.md).
constexpr std::size_t k_suspect_intervals = 4;
/// The same for members of other failure domains, whose entries come through delegates.
constexpr std::size_t k_suspect_intervals_other_domain = 12;
/// In large fleets entries are sent in rotation; this many full rotations of silence are added to the
/// constants above.
constexpr std::size_t k_suspect_cycles = 3;

bool is_newer(const member_entry& _a, const member_entry& _b)
{
	if (!(_a.life == _b.life))
	{
		return _b.life < _a.life;
	}
	return _b.sequence < _a.sequence;
}
} // namespace

membership::membership(std::string _self, std::string _domain, incarnation _incarnation)
    : m_domain(std::move(_domain))
{
	m_self.vm = std::move(_self);
	m_self.domain = m_domain;
	m_self.life = _incarnation;
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
	for (auto it = m_known_members.begin(); m_known_members.end() != it;)
	{
		it = 0 == m_domain_of.count(it->first) ? m_known_members.erase(it) : std::next(it);
	}
}

std::chrono::microseconds membership::interval() const
{
	const std::size_t factor =
	    std::clamp<std::size_t>(m_domain_of.size() / k_max_small_fleet, 1, k_max_interval_factor);
	return k_heartbeat_interval * static_cast<int>(factor);
}

std::vector<heartbeat> membership::tick(steady_time _now)
{
	if (_now < m_next_heartbeat)
	{
		return {};
	}
	m_next_heartbeat = _now + interval();
	++m_self.sequence;
	++m_round;
	std::vector<heartbeat> due;
	// All targets of an interval get the same entries. When entries were selected for each target, some never
	// reached some targets (docs/MEASUREMENTS.md, What was found by failing).
	const std::vector<member_entry> own_domain_entries = select_entries(m_domain, _now);
	for (const std::string& to : targets_in_own_domain(_now))
	{
		due.push_back({to, own_domain_entries});
	}
	if (0 == m_round % delegate_rounds() && has_role("delegate", k_delegates, _now))
	{
		for (const std::string& to : targets_in_other_domains(_now))
		{
			due.push_back({to, select_entries(m_domain_of[to], _now)});
		}
	}
	return due;
}

std::size_t membership::delegate_rounds() const
{
	return m_domain_of.size() <= k_max_small_fleet ? k_delegate_rounds_small_fleet
	                                               : k_delegate_rounds_large_fleet;
}

std::vector<std::string> membership::targets_in_own_domain(steady_time)
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
	// Silent members stay in the rotation, so that this node notices when they come back.
	std::vector<std::string> chosen;
	for (std::size_t step = 0; step < k_heartbeat_fanout; ++step)
	{
		chosen.push_back(near[(m_round * k_heartbeat_fanout + step) % near.size()]);
	}
	return chosen;
}

std::vector<std::string> membership::targets_in_other_domains(steady_time _now)
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
			// No member of that failure domain is known to be alive: try all in turn.
			for (const auto& [vm, its_domain] : m_domain_of)
			{
				if (its_domain == domain)
				{
					delegates.push_back(vm);
				}
			}
		}
		far.push_back(delegates[(m_round / delegate_rounds()) % delegates.size()]);
	}
	return far;
}

std::vector<member_entry> membership::select_entries(const std::string& _for_domain, steady_time _now)
{
	std::vector<known_member*> near;
	std::vector<known_member*> far;
	for (auto& [vm, one] : m_known_members)
	{
		(one.entry.domain == m_domain ? near : far).push_back(&one);
	}
	std::vector<member_entry> entries = {m_self};
	// A heartbeat to another failure domain carries entries of the own one only; a heartbeat within the own
	// one carries entries of all.
	const bool is_near = _for_domain == m_domain;
	append_entries(near, is_near ? k_max_own_domain_entries : k_max_delegate_entries, _now, entries);
	if (is_near)
	{
		// All entries of a small fleet fit into one heartbeat.
		const bool is_small = m_domain_of.size() <= k_max_small_fleet;
		append_entries(far, is_small ? k_max_small_fleet : k_max_other_domain_entries, _now, entries);
	}
	return entries;
}

void membership::append_entries(std::vector<known_member*>& _from, std::size_t _limit, steady_time _now,
    std::vector<member_entry>& _entries)
{
	const auto least_recently_sent = [](const known_member* _a, const known_member* _b)
	{
		return _a->sent_at < _b->sent_at;
	};
	const std::size_t count = std::min(_limit, _from.size());
	std::partial_sort(
	    _from.begin(), _from.begin() + static_cast<std::ptrdiff_t>(count), _from.end(), least_recently_sent);
	for (std::size_t at = 0; at < count; ++at)
	{
		_from[at]->sent_at = _now;
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
		const auto it = m_known_members.find(entry.vm);
		if (m_known_members.end() == it)
		{
			m_known_members[entry.vm] = {entry, _now, {}};
		}
		else if (is_newer(entry, it->second.entry))
		{
			it->second.entry = entry;
			it->second.heard_at = _now;
		}
	}
}

member_state membership::state_of(const std::string& _vm, steady_time _now) const
{
	if (_vm == m_self.vm)
	{
		return member_state::alive;
	}
	const auto it = m_known_members.find(_vm);
	if (m_known_members.end() == it)
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
	// In small fleets each heartbeat carries every entry; in large ones an entry comes once per rotation of
	// this many intervals.
	const std::size_t cycle =
	    near ? near_size / (k_heartbeat_fanout * 2) : far_size / k_max_other_domain_entries;
	const std::size_t max_silent_intervals =
	    (near ? k_suspect_intervals : k_suspect_intervals_other_domain) + k_suspect_cycles * cycle;
	return interval() * static_cast<int>(max_silent_intervals) < _now - it->second.heard_at
	           ? member_state::suspected
	           : member_state::alive;
}

const member_entry* membership::entry_of(const std::string& _vm) const
{
	if (_vm == m_self.vm)
	{
		return &m_self;
	}
	const auto it = m_known_members.find(_vm);
	return m_known_members.end() == it ? nullptr : &it->second.entry;
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
