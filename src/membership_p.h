// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Membership: who answers, what each entry VM can take, and how the news spreads. Pure decisions, no
/// transport.
#pragma once

#include "larkrack/config.h"

#include "clock_p.h"
#include "gate_p.h"
#include "policy_p.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace larkrack
{
/// What one entry VM says of itself. News of it spread with (life, sequence) as their age.
struct member_entry
{
	std::string vm;
	std::string domain;
	incarnation life;
	std::uint64_t sequence = 0;
	revision rev;                     ///< Configuration in force there.
	std::uint64_t records_digest = 0; ///< Digest of the platform's records known there.
	bool leaving = false;             ///< It is about to stop: no new work.
	bool left = false;                ///< Farewell: it is gone.
	std::map<std::string, service_headroom> loads;
	/// Shares in force there, in parts of k_share_parts by region handle; only services whose shares differ
	/// from the recorded step.
	std::map<std::string, std::vector<int>> in_force;
};

/// Parts that shares are told in.
constexpr double k_share_parts = 10000.0;

/// What this node thinks of another entry VM.
enum class member_state
{
	unknown, ///< Never heard of.
	alive,
	suspected, ///< Silent for too long.
	left,      ///< Said farewell in its last life.
};

/// One heartbeat to be sent.
struct heartbeat
{
	std::string to;
	std::vector<member_entry> entries; ///< The sender's own entry stands first.
};

/// An entry VM as the configuration names it.
struct member_config
{
	std::string vm;
	std::string domain;
};

/// One thread.
class membership
{
public:
	membership(std::string _self, std::string _domain, incarnation _life);

	/// Takes the entry VMs of the configuration; those that are not in it are forgotten.
	void configure(const std::vector<member_config>& _members);
	/// Changes what this entry VM says of itself.
	member_entry& self()
	{
		return m_self;
	}
	/// @returns Heartbeats that are due.
	std::vector<heartbeat> tick(steady_time _now);
	/// Takes entries of a heartbeat.
	void receive(const std::vector<member_entry>& _entries, steady_time _now);

	/// @returns State of an entry VM; this one is always alive.
	member_state state_of(const std::string& _vm, steady_time _now) const;
	/// @returns Last word of an entry VM, or null.
	const member_entry* entry_of(const std::string& _vm) const;
	/// @returns Names of the entry VMs of a failure domain that answer, this one included.
	std::vector<std::string> alive_in(const std::string& _domain, steady_time _now) const;
	/// @returns Whether this node is among the first few of its failure domain, by rendezvous hash with a
	/// role's name.
	bool has_role(const char* _role, std::size_t _count, steady_time _now) const;
	/// @returns The first few entry VMs of a failure domain that answer, by rendezvous hash with a role's
	/// name.
	std::vector<std::string> role_of(
	    const char* _role, std::size_t _count, const std::string& _domain, steady_time _now) const;
	/// @returns All configured members.
	const std::map<std::string, std::string>& members() const
	{
		return m_domain_of;
	}
	/// @returns Time between two heartbeats at the present size.
	std::chrono::microseconds interval() const;

private:
	struct known
	{
		member_entry entry;
		steady_time heard{};
		steady_time sent{}; ///< When it was last passed on.
	};
	std::vector<member_entry> news(const std::string& _for_domain, steady_time _now);
	static void append_news(std::vector<known*>& _from, std::size_t _limit, steady_time _now,
	    std::vector<member_entry>& _entries);
	std::size_t far_rounds() const;
	std::vector<std::string> targets_near(steady_time _now);
	std::vector<std::string> targets_far(steady_time _now);

	std::string m_domain;
	member_entry m_self;
	std::map<std::string, std::string> m_domain_of;
	std::map<std::string, std::size_t> m_domain_size;
	std::map<std::string, known> m_known;
	steady_time m_next{};
	std::size_t m_round = 0;
};

/// @returns Rendezvous weight of a name for a key.
std::uint64_t rendezvous(const std::string& _key, const std::string& _name);
} // namespace larkrack
