// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Backend choice: which backend server of a service and region gets a request, or why none does.
///
/// Inputs: the backend servers of the service (backend_state_p.h), the region where the request shall run,
/// its affinity key (hash, 0: none) and that key's part of the service's requests (0 to 1), this node's own
/// part of the slots, the limits of the service that all nodes share (connections; requests a second of a
/// cold backend server), the number of nodes, and the backend servers that this request was sent to before.
///
/// Rule: usable backend servers of the region, of the versions that take part (rollout_p.h), are ranked, for
/// a key by rendezvous hashing, else by least load (requests per slot); for large answers those of another
/// failure domain than the node's come last. The first one in that order that passes all of these gets the
/// request:
/// - a key uses its first `k_key_servers + ceil(k_key_servers_by_share * part * servers)`, and others only
///   while they are nearly idle (k_idle_part of their slots);
/// - not tried before by this request;
/// - a free slot: fewer requests than slots (k_own_depth times the slots at the first one of a key), or fewer
///   requests of this node than its own part of the slots;
/// - a connection: an idle one, or fewer than this node's part of the limit;
/// - slow start: a cold one gets requests of its own region's nodes only, within a token bucket at this
///   node's part of what it bears (shared_budgets_p.h);
/// - its return from a rest: one request, then an even share for a moment (backend_rest_p.h);
/// - a token, where it names a limit (backend_limit_p.h). Without one the next backend server takes its place
///   in the order. Requests without a key go to those with a limit last.
///
/// Other ways (docs/DESIGN.md):
/// - reports of backend servers alone, without own parts of the slots: worth of a loaded day 0.147
///   against 0.309;
/// - a key on two or three backend servers 0.55, on one unless its share needs more 0.72;
/// - one server fewer for a key 0.78, share counted once 0.90, no foreign keys at all 0.85, servers by share
///   only 0.57 (share of the score of a loaded day).
///
/// Relies on load_estimate_p.h for the requests that a backend server holds, and on fleet for the parts of
/// this node. Grants of cold backend servers are counted here; all else is counted when the request is sent.
#pragma once

#include "steering/affinity_key_p.h"
#include "steering/backend_state_p.h"
#include "steering/quota_p.h"
#include "steering/shared_budgets_p.h"
#include "steering/slot_portion_p.h"

#include <vector>

namespace larkrack
{
/// Requests that may go to a cold backend server at once after a pause. Not measured.
constexpr double k_warmup_burst = 1.0;
/// Backend servers of each key, besides those that its part of the requests needs. More spread a burst of one
/// key, fewer keep it where it is known: two or three 0.55, one 0.72 worth of a loaded day
/// (docs/DESIGN.md, "Direct sending").
constexpr double k_key_servers = 1.0;
/// Backend servers of a key for each one that its requests would fill if all were alike, no unit. 0: frequent
/// keys queue; more: they run cold. Measured by the trials of docs/DESIGN.md, "Keys" ("share counted once").
constexpr double k_key_servers_by_share = 1.0;
/// Part of its slots up to which a backend server takes keys that are not its own, no unit. Larger starts
/// sooner, smaller keeps what is remembered. No foreign keys at all: 0.85 of the score (docs/DESIGN.md,
/// "Keys"); the value itself is not measured.
constexpr double k_idle_part = 0.2;
/// Ranks by which a backend server in another failure domain than the preferred one falls behind. Any value
/// above 1 puts it behind all near ones that have room; not a tuning value.
constexpr double k_domain_penalty = 2.0;
/// Requests that the first backend server of a key may hold, as a multiple of its slots: to wait a moment for
/// one that knows the key is faster than to start at once where nobody knows it. 1.0 costs 0.07 to 0.09 of
/// worth, 2.4 buys 0.002 with five slots and costs 0.006 with three (docs/DECISIONS.md).
constexpr double k_own_depth = 1.7;

/// Tells which nodes send to cold backend servers.
class warmup_sharing_base
{
public:
	virtual ~warmup_sharing_base() = default;
	/// @returns This node's part, 0 to 1, of what a cold backend server of its region bears. The parts of all
	/// nodes never sum up to much more than 1, whatever each of them sees.
	virtual double warmup_part(const backend_state& _backend) const = 0;
};

/// Ranks by which a backend server that names a limit falls behind for requests that have no place of their
/// own. Any value above those of load and domain together puts it last; not a tuning value.
constexpr double k_limited_penalty = 4.0;

/// Gives tokens for requests to backend servers that name a limit.
class limit_tokens_base
{
public:
	virtual ~limit_tokens_base() = default;
	/// @param[in] _backend That names a limit.
	/// @returns quota_answer::waits when a token may come within a moment.
	virtual quota_answer take(const backend_state& _backend) = 0;
};

/// Limits of a service that hold over all nodes.
struct service_limits
{
	double warmup_requests_per_s = 0.0; ///< What one cold backend server bears; 0: no limit.
	int max_connections = 0;            ///< To one backend server; 0: no limit.
};

/// A request that needs a backend server.
struct backend_query
{
	const std::vector<backend_state*>* candidates = nullptr; ///< Of the service.
	region_name region;                                      ///< Where it shall run.
	region_name own_region;                                  ///< Region of this node.
	domain_name nearest_domain; ///< Failure domain that is preferred; empty: none.
	affinity_key key;
	double key_part = 0.0;     ///< Part of the service's requests that have this key.
	slot_portion own_portion;  ///< Slots that this node may use whatever other nodes do.
	double region_per_s = 0.0; ///< Requests a second that this node sends to the region.
	service_limits limits;
	sharing sharers;                                ///< Nodes among which the connections are divided.
	const std::vector<backend_id>* tried = nullptr; ///< By this request before.
	version_rule versions;                          ///< Which take part while a version is rolled out.
	limit_tokens_base* tokens = nullptr;            ///< Null: limits are not kept.
	bool waits_for_token = false;                   ///< The request may wait for one.
	/// Whose limit had no token for this request; those that are found now are added, so that none is asked
	/// twice.
	std::vector<backend_id>* without_token = nullptr;
};

/// Why a backend server was chosen, or why none was.
enum class backend_choice_reason
{
	own_of_key,     ///< Chosen: one of the key's own.
	idle_for_key,   ///< Chosen: not the key's own, but nearly idle.
	least_load,     ///< Chosen: there is no key.
	none_usable,    ///< None: the region has no usable backend server.
	all_resting,    ///< None: all that are usable but for that have asked for rest.
	not_own_of_key, ///< None: those that are not the key's own are too busy.
	all_tried,      ///< None: this request was sent to all others before.
	no_slot,        ///< None: no free slot.
	no_connection,  ///< None: this node's part of the connections is in use.
	returning,      ///< None: others go first to one that has rested.
	cold_budget,    ///< None: the rate of a cold backend server is spent, or other nodes have it.
	limit_spent,    ///< None: the limits that all candidates name are spent.
	awaits_token,   ///< Chosen, once a token of its limit comes.
};

/// Which backend server a request goes to.
struct backend_choice
{
	backend_state* backend = nullptr; ///< Null: none.
	/// When there is none, what kept the request from the last candidate in order.
	backend_choice_reason why = backend_choice_reason::none_usable;
	steady_time back_at{}; ///< When all rest: the end of the first rest to end.
};

/// Chooses a backend server. What it grants is counted against the budget of a cold one.
backend_choice choose_backend(
    const backend_query& _query, const warmup_sharing_base& _warmup, steady_time _now);
} // namespace larkrack
