// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Ownership of backend servers: the rules, as pure functions on records.
///
/// An owner is the only entry VM that sends new work to a backend server, so its count of running requests
/// is exact.
/// Decides: the wanted division (plan_owners, rendezvous hashing), and what this entry VM may change in a
/// record (next_owners): take what nobody holds, take what was held by an entry VM that is gone or by a
/// former life of its own, and release what it is to give up once nothing runs there. Silence or a lapsed
/// time alone never takes a backend server from its holder.
/// Owns: no state. The records live in the store, one for each failure domain and service, changed by
/// compare-and-swap (control_owners); each node keeps a copy, so an outage of the store changes no owner.
/// Relies on: the store's list of VMs for who is gone; membership for who answers; the gate for what runs;
/// clocks that differ by no more than k_clock_skew, for full_until only.
/// Units: wall times in microseconds since 1970; counts are requests.
/// Reasons and figures: docs/DESIGN.md (Owners), docs/MEASUREMENTS.md (rows crash_entry, paused_holder,
/// platform_outage, cut_domain).
#pragma once

#include "base/clock_p.h"
#include "larkrackd/policy_p.h"

#include <map>
#include <set>
#include <string>

namespace larkrack
{
/// Holder of one backend server.
struct owner_entry
{
	std::string vm;         ///< Empty: nobody.
	incarnation life;       ///< Life of the holder's process that took it.
	wall_time full_until{}; ///< Until then requests of a former holder may fill all slots.
};

/// Owners of the backend servers of one service in one failure domain.
struct owner_record
{
	std::uint64_t sequence = 0;                  ///< Grows by 1 with each change.
	std::map<std::string, owner_entry> backends; ///< By name of the backend server.
};

/// What the rules look at.
struct owner_facts
{
	std::string self;                   ///< Name of this entry VM.
	incarnation life;                   ///< This life of its process.
	bool self_leaving = false;          ///< It is in a planned stop.
	std::set<std::string> present;      ///< Entry VMs that may own: configured, not drained, not leaving.
	std::set<std::string> gone;         ///< Entry VMs that the platform's list says are gone.
	std::map<std::string, int> running; ///< Requests of this node at each backend server.
	/// Longest time that a former holder's requests may still run: the service's run limit and the clock
	/// skew.
	std::chrono::microseconds longest_run{0};
	wall_time now{};
};

/// Wanted division of backend servers among entry VMs; the same on all nodes that see the same members.
/// @param[in] _owners How many entry VMs share the backend servers of one service.
/// @returns Backend server to entry VM; empty when nobody may own.
std::map<std::string, std::string> plan_owners(const std::string& _domain, const std::string& _service,
    const std::vector<std::string>& _backends, const std::set<std::string>& _present, std::size_t _owners);

/// Applies the rules for this node to a record.
/// @param[in] _wanted Wanted division.
/// @returns The new record, or nothing when this node has nothing to change.
std::optional<owner_record> next_owners(const owner_record& _record,
    const std::map<std::string, std::string>& _wanted, const owner_facts& _facts);

/// @returns Whether this node holds a backend server but is to give it up: no new work is sent.
bool is_giving_up(const owner_entry& _entry, const std::string& _backend,
    const std::map<std::string, std::string>& _wanted, const owner_facts& _facts);

/// @returns JSON text of a record.
std::string to_text(const owner_record& _record);
/// @returns The record; an empty one for foreign text.
owner_record owners_from_text(const std::string& _text);
} // namespace larkrack
