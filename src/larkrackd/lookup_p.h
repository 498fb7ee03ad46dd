// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Look-ups: which entry VMs a caller should try, in which order, with a time to live and a grant.
///
/// Decides: the region that serves a caller (region_for: home region and a hash of its address, through the
/// mix), the order of entry VMs (order_entry_vms: those of the region weighted by usable slots, then
/// others), and which entry VM remembers a bare key (key_owner, rendezvous hashing).
/// Owns: one thread's cache of prepared answers, rebuilt for each snapshot, because building the JSON for
/// each look-up was measurably slower.
/// Relies on: traffic_view for one consistent snapshot; grant for signing. Nothing here waits or fails: an
/// old snapshot gives an old answer, and the entry VM that is asked decides again.
/// Units: weights and draws are parts from 0 to 1; k_lookup_ttl in milliseconds.
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
/// An entry VM that a caller may go to.
struct lookup_choice
{
	entry_vm_handle vm;
	double weight = 0.0; ///< Part of the region's callers that are sent there first, 0 to 1.
};

/// @returns Number in [0, 1) by a hash of caller and service; the same on all nodes, so few callers change
/// region when shares move.
double point_of(const boost::asio::ip::address& _caller, const std::string& _service);
/// @returns Region that serves the caller now; invalid when the cap holds it back.
region_handle region_for(
    const traffic_view& _view, service_handle _service, const boost::asio::ip::address& _caller);
/// Orders the entry VMs for a caller: those of its region by weight, then others.
/// @param[in] _draw Number in [0, 1) that picks the first by weight.
std::vector<lookup_choice> order_entry_vms(
    const traffic_view& _view, service_handle _service, region_handle _region, double _draw);
/// @returns Entry VM that remembers a bare key; the same on all nodes with the same configuration.
entry_vm_handle key_owner(const policy& _policy, const std::string& _key);

/// Answers look-ups of one thread. All but the grant is built once for each snapshot.
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
	/// An answer without its grant.
	struct prepared
	{
		double upto = 0.0;     ///< Draws below this, and not below the one before, get it.
		entry_vm_handle first; ///< Entry VM that the grant names.
		std::string text;      ///< JSON object.
	};
	const std::vector<prepared>& lists(const view_ptr& _view, service_handle _service, region_handle _region);
	static std::string list_of(
	    const traffic_view& _view, service_handle _service, const std::vector<lookup_choice>& _choices);

	std::mt19937_64 m_random;
	view_ptr m_view;
	std::map<std::pair<std::uint16_t, std::uint16_t>, std::vector<prepared>> m_lists;
};
} // namespace larkrack
