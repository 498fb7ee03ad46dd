// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Look-ups: the ordered list of entry VMs that a caller should use, with a time to live and a grant.
///
/// Decides: the region that serves a caller (region_for: home region and a hash of the caller's address,
/// through the mix), the order of entry VMs (order_entry_vms: those of the region by usable slots, then the
/// others), and the entry VM that stores a key without a grant (key_owner, rendezvous hashing).
/// Owns: one thread's cache of prepared answers, rebuilt for each snapshot, because building the JSON for
/// each look-up was measurably slower.
/// Relies on: traffic_view for one consistent snapshot; grant for signing. Nothing here waits or fails: an
/// outdated snapshot gives an outdated answer, and the entry VM that gets the request decides again.
/// Units: weights and draws from 0 to 1; k_lookup_ttl in milliseconds.
/// Figures: docs/MEASUREMENTS.md (What an entry VM adds; Beside the plain ways: relayed).
#pragma once

#include "larkrackd/grant_p.h"
#include "larkrackd/traffic_view_p.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace larkrack
{
/// An entry VM that a look-up offers to a caller.
struct lookup_choice
{
	entry_vm_handle vm;
	double weight = 0.0; ///< Fraction of the region's callers that get it as first choice, 0 to 1.
};

/// @returns Number in [0, 1) from a hash of caller and service. It is the same on all nodes and for all
/// snapshots, so that few callers change region when shares change.
double caller_hash_point(const boost::asio::ip::address& _caller, const std::string& _service);
/// @returns Region that serves the caller now; invalid when the cap of a shift leaves the caller unassigned.
region_handle region_for(
    const traffic_view& _view, service_handle _service, const boost::asio::ip::address& _caller);
/// Orders the entry VMs for a caller: those of its region by weight, then others.
/// @param[in] _draw Random number in [0, 1) that selects the first entry VM by weight.
std::vector<lookup_choice> order_entry_vms(
    const traffic_view& _view, service_handle _service, region_handle _region, double _draw);
/// @returns Entry VM that stores a key without a grant; the same on all nodes with the same configuration.
entry_vm_handle key_owner(const policy& _policy, const std::string& _key);

/// Answers look-ups of one thread. Everything but the grant is built once for each snapshot.
class lookup_cache
{
public:
	explicit lookup_cache(std::uint64_t _seed) : m_random(_seed)
	{
	}
	/// @returns Answer of a look-up as JSON.
	std::string answer(const view_ptr& _view, service_handle _service,
	    const boost::asio::ip::address& _caller, const signer& _signer, wall_time _now);

private:
	/// Prepared answer without its grant.
	struct prepared_answer
	{
		double draw_limit = 0.0; ///< Draws from the previous limit up to this one select this answer.
		entry_vm_handle first;   ///< Entry VM that the grant names.
		std::string text;        ///< JSON object.
	};
	const std::vector<prepared_answer>& prepared_answers(
	    const view_ptr& _view, service_handle _service, region_handle _region);
	static std::string list_json(
	    const traffic_view& _view, service_handle _service, const std::vector<lookup_choice>& _choices);

	std::mt19937_64 m_random;
	view_ptr m_view;
	std::map<std::pair<std::uint16_t, std::uint16_t>, std::vector<prepared_answer>> m_answers;
};
} // namespace larkrack
