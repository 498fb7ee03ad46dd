// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Choice by completion: the rule of backend_choice_p.h that compares expected completion times.
///
/// Handles two loads: an overload that sustains itself, because full slots send keys to servers that do not
/// know them, where they take several times as long; and servers whose speed changes several times a second.
/// Inputs: estimated load and reported slowness of each candidate, the mean work times of the service
/// (work_times_p.h), the round trip to the region, the time left of the objective, this node's portion of the
/// slots.
///
/// Algorithm: the expected time at a server is the queue ahead (requests beyond its slots, divided by its
/// slots, times the mean work time there), the request's own work time times the server's slowness, and the
/// round trip. A key's own servers are the first ones in rendezvous hashing order, k_own_servers_per_share
/// times as many as its share of the requests fills, at least one. The first one takes the request while its
/// queue is below k_max_queue_depth, also if the answer is late: a cold run elsewhere is later still, and
/// takes the slots of several known runs. Then the other own ones and the next k_further_servers are tried in
/// hashing order, further ones while their queues are below k_max_further_depth, never an arbitrary idle
/// server, so that an overflowing key becomes known at few servers. A server also takes
/// the request while it has fewer requests of this node than the node's portion. While a region's slots are
/// filled by more than k_short_capacity_load, runs at further servers are charged to a token bucket, which
/// gives them k_cold_run_part of the slots, divided among the nodes as slots are (slot_portion_p.h). A
/// request without a key goes to the candidate with the lowest expected time.
///
/// Alternatives: docs/design/completion-choice.md.
///
/// Relies on its owner to report each response to `works`.
#pragma once

#include "steering/backend_choice_p.h"
#include "steering/token_bucket_p.h"
#include "steering/work_times_p.h"

#include <map>

namespace larkrack
{
/// Maximum number of requests at a key's own server, as a multiple of its slots. Higher: servers reject
/// requests, because they queue three times their slots and other nodes send too. Lower: keys run cold
/// although a wait would be shorter.
constexpr double k_max_queue_depth = 2.5;
/// Own servers of a key relative to the number that its share of the requests fills (a ratio). Higher: more
/// keys become known at two servers and drive others out of their memory. Lower: frequent keys queue, since
/// their servers run other keys too.
constexpr double k_own_servers_per_share = 4.0;
/// The same at a further server of a key. Higher: cold runs wait behind the keys of that server. Lower:
/// requests are refused although a further server has room.
constexpr double k_max_further_depth = 1.7;
/// Servers after the key's own ones that are compared. Higher: an overflowing key becomes known at more
/// servers and drives other keys out of their memory. 0: a key with a lost or full server is refused.
constexpr std::size_t k_further_servers = 1;
/// Part of a region's slots that runs at servers other than the key's own may fill while capacity is short.
/// Higher: cold runs fill the slots that known runs need. 0: frequent keys queue at one server.
constexpr double k_cold_run_part = 0.2;
/// Load of a region's slots, 0 to 1, from which on capacity counts as short. Higher: the bound comes too late
/// to stop an overload. Lower: a key with a slow server waits there although other servers are idle.
constexpr double k_short_capacity_load = 0.9;
/// Milliseconds for which the load of a region is kept. Longer: a jump of load is noticed late. Shorter: more
/// processor time, since the load is a sum over the region's servers.
constexpr std::chrono::milliseconds k_region_load_lifetime{50};
/// Largest number of runs at other servers that start at once after a pause. Higher: a burst of all nodes
/// exceeds the part. Below 1: no such run ever starts.
constexpr double k_cold_run_burst = 1.0;
/// Weight of the load in the rank of servers with the same expected time, seconds for each full set of slots.
/// Larger: outweighs slowness. 0: all nodes choose the same server among idle ones. Not a tuning value.
constexpr double k_load_tie_break_s = 0.001;
/// Expected time from which on servers rank alike for requests without a key, seconds. Maps times to [0, 1],
/// so that the penalties of limits and failure domains are larger than any rank. Not a tuning value.
constexpr double k_max_ranked_time_s = 100.0;

/// Compares expected completion times. One object for each service.
class completion_choice : public backend_choice_rule_base
{
public:
	double load_rank(const backend_state& _backend, steady_time _now) const override;
	std::size_t own_servers(const backend_query& _query, std::size_t _candidates) const override;
	ranked_backend next(
	    choice_progress& _progress, const backend_query& _query, steady_time _now) const override;
	bool accepts_other_keys(const backend_state& _backend, steady_time _now) const override;
	bool has_slot(
	    const ranked_backend& _candidate, const backend_query& _query, steady_time _now) const override;
	bool charge_run(const ranked_backend& _candidate, const backend_query& _query, steady_time _now) override;
	backend_choice_reason reason_for_other_key() const override;

	work_times works;

private:
	/// Load and bound of cold runs of one region.
	struct region_state
	{
		steady_time summed_at{};
		double slots = 0.0;
		double load = 0.0; ///< Requests divided by slots.
		token_bucket cold_runs;
	};

	/// Selects the candidates of a key, the first one to be tried last.
	static void select(choice_progress& _progress, const backend_query& _query);
	region_state& load_of(const backend_query& _query, steady_time _now);

	std::map<region_name, region_state> m_regions;
};
} // namespace larkrack
