// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Rules for the ownership of backend servers, as pure functions on records.
///
/// The owner is the only entry VM that sends new work to a backend server, so its count of running requests
/// is exact.
/// Decides: the wanted assignment (plan_owners, rendezvous hashing), and what this entry VM may change in a
/// record (next_owners): take a backend server that nobody holds, one whose holder is gone, or one held by an
/// earlier incarnation of this entry VM; and release a backend server that it should give up, once no request
/// runs there. Silence or an expired time alone never takes a backend server from its holder.
/// Owns: no state. The records are in the store, one for each failure domain and service, changed by
/// compare-and-swap (control_owners); each node keeps a copy, so an outage of the store changes no owner.
/// Relies on: the store's list of VMs for entry VMs that are gone; membership for those that are alive; the
/// gate for running requests; clocks that differ by at most k_clock_skew, for full_until only.
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
	std::string vm;         ///< Empty: nobody holds the backend server.
	incarnation life;       ///< Incarnation of the holder's process.
	wall_time full_until{}; ///< Until then requests of a former holder may fill all slots.
};

/// Owners of the backend servers of one service in one failure domain.
struct owner_record
{
	std::uint64_t sequence = 0;                  ///< Grows by 1 with each change.
	std::map<std::string, owner_entry> backends; ///< By name of the backend server.
};

/// Input of the rules.
struct owner_facts
{
	std::string self;          ///< Name of this entry VM.
	incarnation life;          ///< Incarnation of this process.
	bool self_leaving = false; ///< This entry VM is in a planned stop.
	/// Entry VMs that may own: configured, alive, not drained, not leaving.
	std::set<std::string> candidates;
	std::set<std::string> gone;         ///< Entry VMs that are gone by the platform's list.
	std::map<std::string, int> running; ///< Requests that this node runs at each backend server.
	/// Maximum time for which requests of a former holder may still run: the service's run limit and the
	/// clock skew.
	std::chrono::microseconds max_run_time{0};
	wall_time now{};
};

/// Computes the wanted assignment of backend servers to entry VMs, which is the same on all nodes that see
/// the same members.
/// @param[in] _owners Number of entry VMs that share the backend servers of one service.
/// @returns Entry VM by backend server; empty without candidates.
std::map<std::string, std::string> plan_owners(const std::string& _domain, const std::string& _service,
    const std::vector<std::string>& _backends, const std::set<std::string>& _candidates, std::size_t _owners);

/// Applies the rules for this node to a record.
/// @param[in] _wanted Wanted assignment.
/// @returns The new record, or nothing if this node has nothing to change.
std::optional<owner_record> next_owners(const owner_record& _record,
    const std::map<std::string, std::string>& _wanted, const owner_facts& _facts);

/// @returns Whether this node holds a backend server but should give it up, so that it sends no new work
/// there.
bool is_releasing(const owner_entry& _entry, const std::string& _backend,
    const std::map<std::string, std::string>& _wanted, const owner_facts& _facts);

/// @returns JSON text of a record.
std::string to_text(const owner_record& _record);
/// @returns The record; an empty one if the text is not a record.
owner_record owners_from_text(const std::string& _text);
} // namespace larkrack
