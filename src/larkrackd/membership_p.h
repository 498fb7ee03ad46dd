// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Membership by gossip: which entry VMs are alive, and what each reports about itself. Decisions only, no
/// transport.
///
/// Decides: which members get a heartbeat, how often (interval) and with which entries; which members are
/// suspected (state_of); and which hold a role such as reader or delegate (role_of, by rendezvous hashing).
/// Membership never decides that an entry VM is gone: only the farewell of that entry VM or the store's list
/// of VMs says so (docs/DESIGN.md, Membership).
/// Owns: the newest entry of each configured entry VM; after a restart, the entries arrive again within some
/// intervals. An entry with a higher (incarnation, sequence) replaces an older one, whichever node forwards
/// it.
/// Relies on: control, which calls tick several times per interval and sends the returned heartbeats; peers
/// for the transport, which may lose messages; the configuration for the list of members.
/// Units: times in microseconds; intervals grow with the number of configured entry VMs. Cost and propagation
/// time for 3 to 460 nodes: docs/CAPACITY.md (Measured slopes).
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
/// State that an entry VM reports about itself. Its version is (life, sequence), where life is the
/// incarnation of the process.
struct member_entry
{
	std::string vm;
	std::string domain;
	incarnation life;
	std::uint64_t sequence = 0;
	revision rev;                     ///< Revision of the configuration in force at the entry VM.
	std::uint64_t records_digest = 0; ///< Digest of the records that the entry VM knows (anti-entropy).
	bool leaving = false;             ///< The entry VM is in a planned stop: no new work.
	bool left = false;                ///< Farewell: this incarnation has ended.
	std::map<std::string, service_headroom> loads; ///< By service name.
	/// Shares in force at the entry VM by service name and region handle, as multiples of 1 / k_share_units;
	/// only services whose shares differ from the recorded step.
	std::map<std::string, std::vector<int>> in_force;
};

/// Units of a share in a heartbeat (one unit is 0.01%). More units make messages longer; with fewer, a
/// restarted node starts from coarser shares.
constexpr double k_share_units = 10000.0;

/// State of another entry VM as this node sees it.
enum class member_state
{
	unknown, ///< No entry was received yet.
	alive,
	suspected, ///< No newer entry was received for too long.
	left,      ///< The entry VM sent a farewell in its newest incarnation.
};

/// A heartbeat to send.
struct heartbeat
{
	std::string to;                    ///< Name of the receiving entry VM.
	std::vector<member_entry> entries; ///< The sender's own entry comes first.
};

/// An entry VM of the configuration.
struct member_config
{
	std::string vm;
	std::string domain;
};

/// Not thread-safe: control thread only.
class membership
{
public:
	membership(std::string _self, std::string _domain, incarnation _incarnation);

	/// Sets the members to the entry VMs of the configuration and drops the entries of all others.
	void configure(const std::vector<member_config>& _members);
	/// @returns This entry VM's own entry, which the caller may change.
	member_entry& self()
	{
		return m_self;
	}
	/// @returns Heartbeats that are due.
	std::vector<heartbeat> tick(steady_time _now);
	/// Takes the entries of a received heartbeat. Older entries and those of entry VMs that are not
	/// configured are ignored.
	void receive(const std::vector<member_entry>& _entries, steady_time _now);

	/// @returns State of an entry VM; this node itself is always alive.
	member_state state_of(const std::string& _vm, steady_time _now) const;
	/// @returns Newest entry of an entry VM, or null if none was received.
	const member_entry* entry_of(const std::string& _vm) const;
	/// @returns Names of the entry VMs of a failure domain that are alive, including this one.
	std::vector<std::string> alive_in(const std::string& _domain, steady_time _now) const;
	/// @returns Whether this node is among the first _count entry VMs of its failure domain that are alive,
	/// by rendezvous hash with the role's name. Always true while this node is not configured.
	bool has_role(const char* _role, std::size_t _count, steady_time _now) const;
	/// @returns The first _count entry VMs of a failure domain that are alive, by rendezvous hash with the
	/// role's name.
	std::vector<std::string> role_of(
	    const char* _role, std::size_t _count, const std::string& _domain, steady_time _now) const;
	/// @returns All configured members: failure domain by name of the entry VM.
	const std::map<std::string, std::string>& members() const
	{
		return m_domain_of;
	}
	/// @returns Time between two heartbeats at the present number of members.
	std::chrono::microseconds interval() const;

private:
	struct known_member
	{
		member_entry entry;
		steady_time heard_at{};
		/// When the entry was last forwarded; the least recently forwarded goes first.
		steady_time sent_at{};
	};
	std::vector<member_entry> select_entries(const std::string& _for_domain, steady_time _now);
	static void append_entries(std::vector<known_member*>& _from, std::size_t _limit, steady_time _now,
	    std::vector<member_entry>& _entries);
	std::size_t delegate_rounds() const;
	std::vector<std::string> targets_in_own_domain(steady_time _now);
	std::vector<std::string> targets_in_other_domains(steady_time _now);

	std::string m_domain;
	member_entry m_self;
	std::map<std::string, std::string> m_domain_of;   ///< Configured members.
	std::map<std::string, std::size_t> m_domain_size; ///< Configured members of each failure domain.
	std::map<std::string, known_member> m_known_members;
	steady_time m_next_heartbeat{};
	std::size_t m_round = 0;
};
} // namespace larkrack
