// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Membership by gossip: which entry VMs answer, and what each says of itself. Decisions only, no
/// transport.
///
/// Decides: who gets a heartbeat and with which entries, how often (interval), who is suspected (state_of),
/// and who holds a role such as reader or delegate (role_of, by rendezvous hashing). It never decides that
/// an entry VM is gone: only its farewell or the store's list of VMs says so (docs/DESIGN.md, Membership).
/// Owns: the last entry heard of each configured entry VM; after a restart it is heard again within some
/// intervals. An entry with a higher (life, sequence) replaces an older one, whoever passes it on.
/// Relies on: control, which calls tick several times in an interval and sends what it returns; peers for
/// the transport, which may lose messages; the configuration for the list of members.
/// Units: times in microseconds; intervals grow with the number of configured entry VMs. Cost and spread
/// for 3 to 460 nodes: docs/CAPACITY.md (Measured slopes).
#pragma once

#include "larkrack/config.h"

#include "base/clock_p.h"
#include "larkrackd/gate_p.h"
#include "larkrackd/policy_p.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace larkrack
{
/// What one entry VM says of itself. (life, sequence) is its version.
struct member_entry
{
	std::string vm;
	std::string domain;
	incarnation life;
	std::uint64_t sequence = 0;
	revision rev;                     ///< Configuration in force there.
	std::uint64_t records_digest = 0; ///< Digest of the store's records known there (anti-entropy).
	bool leaving = false;             ///< It is in a planned stop: no new work.
	bool left = false;                ///< Farewell: this life has ended.
	std::map<std::string, service_headroom> loads; ///< By service name.
	/// Shares in force there by service name and region handle, as multiples of 1 / k_share_parts; only
	/// services whose shares differ from the recorded step.
	std::map<std::string, std::vector<int>> in_force;
};

/// Units of a share in a heartbeat (1 is 0.01%). More makes messages longer, fewer makes a restarted node
/// start from coarser shares. Not measured.
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
	std::string to;                    ///< Name of an entry VM.
	std::vector<member_entry> entries; ///< The sender's own entry stands first.
};

/// An entry VM as the configuration names it.
struct member_config
{
	std::string vm;
	std::string domain;
};

/// Not thread-safe: control thread only.
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
	/// Takes the entries of a heartbeat; entries of unknown entry VMs and older ones are ignored.
	void receive(const std::vector<member_entry>& _entries, steady_time _now);

	/// @returns State of an entry VM; this one is always alive.
	member_state state_of(const std::string& _vm, steady_time _now) const;
	/// @returns Newest entry of an entry VM, or null when none was heard.
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
	/// @returns All configured members: failure domain by name.
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
		steady_time sent{}; ///< When it was last passed on; the one not sent for longest goes first.
	};
	std::vector<member_entry> news(const std::string& _for_domain, steady_time _now);
	static void append_news(std::vector<known*>& _from, std::size_t _limit, steady_time _now,
	    std::vector<member_entry>& _entries);
	std::size_t far_rounds() const;
	std::vector<std::string> targets_near(steady_time _now);
	std::vector<std::string> targets_far(steady_time _now);

	std::string m_domain;
	member_entry m_self;
	std::map<std::string, std::string> m_domain_of;   ///< Configured members.
	std::map<std::string, std::size_t> m_domain_size; ///< Configured members of each failure domain.
	std::map<std::string, known> m_known;
	steady_time m_next{};
	std::size_t m_round = 0;
};
} // namespace larkrack
