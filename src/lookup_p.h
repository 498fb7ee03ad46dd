// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Answers to "where shall I go": ordered entry VMs, a time to live and a grant.
#pragma once

#include "grant_p.h"
#include "traffic_view_p.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace larkrack
{
/// One place that a caller may go to.
struct lookup_choice
{
	entry_vm_handle vm;
	double weight = 0.0; ///< Part of callers that are sent there first.
};

/// @returns Number in [0, 1) that is the same for the same caller and service.
double point_of(const boost::asio::ip::address& _caller, const std::string& _service);
/// @returns Region that serves the caller now; invalid when the cap holds it back.
region_handle region_for(
    const traffic_view& _view, service_handle _service, const boost::asio::ip::address& _caller);
/// Orders the entry VMs for a caller: those of its region by weight, then others.
/// @param[in] _draw Number in [0, 1) that picks the first.
std::vector<lookup_choice> order_entry_vms(
    const traffic_view& _view, service_handle _service, region_handle _region, double _draw);
/// @returns Entry VM that remembers a key that is not built on a grant; the same on all nodes.
entry_vm_handle key_owner(const policy& _policy, const std::string& _key);
/// Answers look-ups of one thread. All but the grant is put together once for each snapshot.
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
