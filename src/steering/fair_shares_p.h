// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Fair shares: decides whether a group of requests (a customer) may take further slots of a region while the
/// slots are short.
///
/// Load: one group sends many more requests than the others, at some nodes more than at others. The queue of
/// each node (fair_queue_p.h) divides only what this node gets; at nodes where no other group waits, the
/// large group takes each slot that becomes free before other nodes see it.
///
/// Inputs: waiting and running requests of this node by group; slots and busy slots of the region; what the
/// other nodes of the region report of their running requests; weights of the groups.
///
/// Algorithm: weighted max-min fairness of the running requests over all nodes of the region. A level is
/// computed at which the caps of the groups fill the slots; a group that runs less than its cap leaves the
/// rest to the others. A cap is the weight times the level, and what the number of requests may exceed that
/// by chance (k_share_variation). This node's part of a cap is its part of the group's running requests.
/// Rounding varies with each tick and node, so that parts below one request add up. Caps are enforced only
/// while slots are short and requests of groups below their caps wait at this node or at another; then a few
/// slots (k_contested_variation) are taken from the groups above their caps, so that the other groups find a
/// free slot at whichever node they arrive. While nobody else waits, a group may take all slots. Slots that
/// are busy with requests that no node reports are not divided: nodes that can not hear each other each
/// divide what they observe.
///
/// Alternatives (docs/design/fair-shares.md):
/// - demand in place of running requests in the reports: the requests that run elsewhere are then unknown,
///   and so is the capacity of nodes that can not hear each other;
/// - caps without k_share_variation: a small group has few requests, whose number varies by chance, and is
///   held although it is below its share in the mean.
///
/// Memory: proportional to the running and waiting requests of this node and to the reported groups.
///
/// Relies on the caller to pass only reports of nodes of its own region, and to call on_end() for each
/// request that was sent.
#pragma once

#include "steering/admission_p.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace larkrack
{
/// Groups that a report names. Fewer: a large group is overlooked that sends through many nodes. More: bytes
/// of each heartbeat.
constexpr std::size_t k_reported_groups = 8;
/// Part of the slots that must be busy for caps to be enforced. Lower: groups are held while slots are free
/// and reports are old. Higher: caps are lifted whenever some requests end at the same time.
constexpr double k_short_fraction = 0.85;
/// Slots that groups above their caps leave free while others wait, in standard deviations of the number of
/// running requests (the root of the slots). Lower: the others wait for each slot, and their requests are
/// refused. Higher: slots stay free.
constexpr double k_contested_variation = 0.3;
/// Standard deviations by which the number of running requests of a group may exceed its weighted share by
/// chance. Lower: groups are held that are below their shares in the mean. Higher: weights count for less
/// between small groups.
constexpr double k_share_variation = 2.0;
/// Part of a cap's unused rest that each node may take in addition to its part of the cap. Lower: a group
/// below its cap is held at nodes where it happens to have more requests. Higher: several nodes take the same
/// rest.
constexpr double k_unused_fraction = 0.25;
/// Time constant with which a wait of others is forgotten. Shorter: caps are lifted between two waits.
/// Longer: slots are left free that nobody asks for.
constexpr double k_contest_time_constant_s = 2.0;
/// Waiting requests of others, faded, below which nobody else counts as waiting. Lower: slots are left free
/// for longer after the last wait. Higher: a wait at a single node is missed.
constexpr double k_min_contest = 0.05;

/// Running requests of a group and its weight, for fair_level().
struct group_demand
{
	double requests = 0.0;
	double weight = 1.0;
};

/// @returns Requests that a group may have at a level: its weighted share, and what chance adds to it.
/// @param[in] _variation Standard deviations, see k_share_variation.
double fair_cap(double _weight, double _level, double _variation);

/// @returns Level at which the groups, each with the smaller of its requests and fair_cap(), have _room
/// requests together, at least 0; nothing if all requests have room.
std::optional<double> fair_level(const std::vector<group_demand>& _groups, double _room, double _variation);

/// Fair shares of one service at this node.
class fair_shares
{
public:
	/// @returns Weight of a group that only other nodes have.
	using weight_source = std::function<double(group_id)>;

	/// @param[in] _salt Differs between nodes.
	fair_shares(weight_source _weight_of, std::uint64_t _salt);

	/// A request begins to wait at this node.
	void on_waiting(const admission_request& _request);
	/// A request no longer waits; without effect when it does not wait.
	void on_wait_end(request_number _request);
	/// A request was sent to a backend server; without effect when an earlier attempt of it counts as
	/// running.
	void on_sent(const admission_request& _request);
	/// A request ended, whether it was sent or not.
	void on_end(request_number _request);
	/// @param[in] _room Room in the region of this node.
	/// @param[in] _others Reports of the other live nodes of this region.
	void tick(
	    const region_room& _room, const std::vector<const admission_report*>& _others, steady_time _now);

	/// @returns Whether the group may send another request now.
	bool within_share(group_id _group, double _weight) const;
	/// @returns The same for a group that has requests at this node.
	bool within_share(group_id _group) const
	{
		return within_share(_group, weight_of(_group));
	}
	/// @returns Part of the region's slots that the group may take, 0 to 1; 1 while caps are not enforced.
	double share_of(group_id _group) const;
	/// Adds the running requests of this node to its report, while slots are short.
	void report(admission_report& _report) const;
	/// @returns Whether groups are held to their caps.
	bool enforced() const
	{
		return m_short && k_min_contest <= m_contest;
	}

private:
	/// Requests of a group at this node.
	struct local_group
	{
		double weight = 1.0;
		int running = 0;
		int waiting = 0;
	};
	/// A request of this node.
	struct local_request
	{
		group_id group;
		bool running = false; ///< Else it waits.
	};
	/// Requests of a group in the region, as of the last tick.
	struct regional_group
	{
		double weight = 1.0;
		double running = 0.0;
		double running_here = 0.0;
	};

	double weight_of(group_id _group) const;
	double cap_of(const regional_group& _group) const;
	bool below_cap(group_id _group, double _weight) const;
	void count(const std::vector<const admission_report*>& _others);
	void plan(const region_room& _room);
	void update_contest(steady_time _now);
	void forget(std::unordered_map<std::uint64_t, local_request>::iterator _request);
	double rounding_offset(group_id _group) const;

	weight_source m_weight_of;
	std::uint64_t m_salt;
	std::uint64_t m_ticks = 0;
	std::unordered_map<std::uint64_t, local_request> m_requests;  ///< By request_number.
	std::unordered_map<std::uint64_t, local_group> m_local;       ///< By group_id.
	std::unordered_map<std::uint64_t, regional_group> m_regional; ///< Empty while slots are not short.
	double m_running_rest = 0.0;      ///< Requests of other nodes without a group.
	double m_waiting_elsewhere = 0.0; ///< Requests of groups below their caps, at other nodes.
	double m_contest_here = 0.0;      ///< The same at this node: recent maximum, faded.
	double m_contest = 0.0;           ///< At all nodes.
	double m_slots = 0.0;
	double m_free_slots = 0.0; ///< Slots that any group may take in addition to what it has.
	double m_level = 0.0;      ///< Requests for each unit of weight.
	bool m_short = false;      ///< Whether slots are short.
	steady_time m_ticked_at{};
};
} // namespace larkrack
