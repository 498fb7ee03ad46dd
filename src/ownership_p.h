// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Who owns which backend servers: the rules, as pure functions on records.
///
/// An owner is the only entry VM that sends new work to a backend server. It changes by a farewell (the
/// holder gives it up once nothing runs), or when the platform's list says that the holder is gone; never by
/// a clock alone.
#pragma once

#include "clock_p.h"
#include "policy_p.h"

#include <map>
#include <set>
#include <string>

namespace larkrack
{
/// Holder of one backend server.
struct owner_entry
{
	std::string vm; ///< Empty: nobody.
	incarnation life;
	wall_time full_until{}; ///< Until then a former holder's work may fill all slots.
};

/// Owners of the backend servers of one service in one failure domain.
struct owner_record
{
	std::uint64_t sequence = 0;
	std::map<std::string, owner_entry> backends;
};

/// What the rules look at.
struct owner_facts
{
	std::string self;
	incarnation life;
	bool self_leaving = false;
	std::set<std::string> present;      ///< Entry VMs that may own: configured, not drained, not leaving.
	std::set<std::string> gone;         ///< Entry VMs that the platform's list says are gone.
	std::map<std::string, int> running; ///< Requests of this node at each backend server.
	std::chrono::microseconds longest_run{0}; ///< Longest time that work of a former holder may go on.
	wall_time now{};
};

/// Wanted division of backend servers among entry VMs.
/// @param[in] _owners Entry VMs that share the backend servers of one service.
/// @returns Backend server to entry VM; empty when nobody may own.
std::map<std::string, std::string> plan_owners(const std::string& _domain, const std::string& _service,
    const std::vector<std::string>& _backends, const std::set<std::string>& _present, std::size_t _owners);

/// Applies the rules for this node to a record.
/// @param[in] _wanted Wanted division.
/// @returns The new record when this node has something to change.
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
