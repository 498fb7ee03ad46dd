// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Backend choice: selects the backend server of a service and region that gets a request, or the reason why
/// none does.
///
/// Inputs: the backend servers of the service (backend_state_p.h); the region where the request shall run;
/// its affinity key (hash, 0: none) and the fraction of the service's requests that have this key (0 to 1);
/// the portion of the slots that is reserved for this node; the limits of the service that all nodes share
/// (connections; requests per second of a cold backend server); the number of nodes; and the backend servers
/// that this request was already sent to.
///
/// Algorithm: usable backend servers of the region whose version takes part (rollout_p.h) are ranked: for a
/// key by rendezvous hashing, otherwise by load (requests per slot, lowest first). For large responses,
/// backend servers outside the node's failure domain come last. The first backend server in this order that
/// passes all of these checks gets the request:
/// - affinity: a key uses its own backend servers, whose number is up to the rule of the service, and others
///   only as that rule permits;
/// - not already tried by this request;
/// - a free slot, by the rule of the service;
/// - a connection: an idle one, or fewer than this node's share of the connection limit;
/// - slow start: a cold backend server gets requests only from nodes of its own region, within a token bucket
///   at this node's share of the warm-up rate (shared_budgets_p.h);
/// - return from a rest: one probe request first, then an even share for a moment (backend_rest_p.h);
/// - a token, if the backend server reports a limit (backend_limit_p.h). A backend server without a token is
///   replaced by the next one in the order. Requests without a key use backend servers with a limit last.
///
/// Two rules implement backend_choice_rule_base: count_choice_p.h and completion_choice_p.h.
///
/// Alternatives (docs/DESIGN.md):
/// - load reports of backend servers alone, without own portions of the slots: worth of a loaded day 0.147
///   compared to 0.309;
/// - a key on two or three backend servers 0.55, on one unless its share needs more 0.72;
/// - one server fewer for a key 0.78, share counted once 0.90, no foreign keys at all 0.85, servers by share
///   only 0.57 (fraction of the score of a loaded day).
///
/// Relies on load_estimate_p.h for the number of requests at a backend server, and on fleet for the shares of
/// this node. Warm-up tokens of cold backend servers and tokens of limits are taken here; everything else is
/// counted when the request is sent.
#pragma once

#include "steering/affinity_key_p.h"
#include "steering/backend_state_p.h"
#include "steering/quota_p.h"
#include "steering/shared_budgets_p.h"
#include "steering/slot_portion_p.h"

#include <vector>

namespace larkrack
{
/// Requests that may be sent to a cold backend server at once after a pause.
constexpr double k_warmup_burst = 1.0;
/// Added to the rank of a backend server outside the preferred failure domain. Any value above 1 ranks it
/// behind all backend servers of the preferred failure domain; not a tuning value.
constexpr double k_domain_penalty = 2.0;
/// Tells which nodes send requests to cold backend servers.
class warmup_sharing_base
{
public:
	virtual ~warmup_sharing_base() = default;
	/// @returns This node's share, 0 to 1, of the warm-up rate of a cold backend server in its region. The
	/// shares of all nodes never sum up to much more than 1, even if the nodes have different views of the
	/// fleet.
	virtual double warmup_share(const backend_state& _backend) const = 0;
};

/// Added to the rank of a backend server that reports a limit, for requests without a key. Any value above
/// the sum of load and k_domain_penalty ranks it last; not a tuning value.
constexpr double k_limited_penalty = 4.0;

/// Grants tokens for requests to backend servers that report a limit.
class limit_tokens_base
{
public:
	virtual ~limit_tokens_base() = default;
	/// @param[in] _backend Backend server that reports a limit.
	/// @returns quota_answer::waits if a token may become available within a moment.
	virtual quota_answer take(const backend_state& _backend) = 0;
};

class backend_choice_rule_base;

/// @returns The rule that counts requests (count_choice_p.h).
backend_choice_rule_base& count_choice_rule();

/// Limits of a service that all nodes share.
struct service_limits
{
	double warmup_requests_per_s = 0.0; ///< Request rate that one cold backend server can take; 0: no limit.
	int max_connections = 0;            ///< Connections to one backend server; 0: no limit.
};

/// A request that needs a backend server.
struct backend_query
{
	const std::vector<backend_state*>* candidates = nullptr; ///< Backend servers of the service.
	region_name region;                                      ///< Region where the request shall run.
	region_name own_region;                                  ///< Region of this node.
	domain_name nearest_domain;                              ///< Preferred failure domain; empty: none.
	affinity_key key;
	double key_share = 0.0;             ///< Fraction of the service's requests that have this key.
	slot_portion own_portion;           ///< Slots that are reserved for this node, whatever other nodes send.
	double region_requests_per_s = 0.0; ///< Requests per second that this node sends to the region.
	service_limits limits;
	budget_sharing sharers; ///< Nodes that share the connection limit.
	const std::vector<backend_id>* tried =
	    nullptr; ///< Backend servers that this request was already sent to.
	/// Those of `tried` that rejected the request although they reported free slots; null: none.
	const std::vector<backend_id>* may_try_again = nullptr;
	backend_choice_rule_base* rule = &count_choice_rule(); ///< Owned by service_steering or static.
	double time_left_s = 0.0;            ///< Time in which the response is within the objective.
	double distance_s = 0.0;             ///< Round-trip time to the region.
	version_rule versions;               ///< Versions that take part during a rollout.
	limit_tokens_base* tokens = nullptr; ///< Null: limits are not enforced.
	bool may_wait_for_token = false;     ///< Whether the request may wait for a token.
	/// Backend servers whose limit had no token for this request. choose_backend() adds those it finds, so
	/// that no token is requested twice.
	std::vector<backend_id>* without_token = nullptr;
};

/// Why a backend server was chosen, or why none was.
enum class backend_choice_reason
{
	preferred_for_key,     ///< Chosen: one of the key's own backend servers.
	idle_for_key,          ///< Chosen: not the key's own, but nearly idle (count_choice_p.h).
	next_for_key,          ///< Chosen: not the key's own, next in its order (completion_choice_p.h).
	least_load,            ///< Chosen: lowest load; the request has no key.
	none_usable,           ///< None: the region has no usable backend server.
	all_resting,           ///< None: all backend servers that would be usable are in a rest period.
	not_preferred_for_key, ///< None: the backend servers that are not the key's own are too busy.
	all_tried,             ///< None: this request was already sent to all of them.
	no_slot,               ///< None: no free slot.
	no_connection,         ///< None: this node's share of the connections is in use.
	ramping_up,            ///< None: the backend server has just ended a rest, and its share is in use.
	warmup_exhausted,      ///< None: the warm-up rate is used up, or belongs to other nodes.
	cold_runs_exhausted,   ///< None: cold runs have used their part of the region's slots.
	limit_exhausted,       ///< None: the reported limits of all candidates are exhausted.
	awaits_token,          ///< Chosen, once a token of its limit becomes available.
};

/// The backend server that a request is sent to.
struct backend_choice
{
	backend_state* backend = nullptr; ///< Null: none was chosen.
	/// If none was chosen, why the last candidate was rejected.
	backend_choice_reason why = backend_choice_reason::none_usable;
	steady_time available_at{}; ///< If all candidates rest: the earliest end of a rest.
};

/// Role of a candidate for a request with a key; all false for a request without a key.
struct key_role
{
	bool first = false;   ///< The first backend server of the key.
	bool not_own = false; ///< Not one of the key's own backend servers.
};

/// A candidate and its role.
struct ranked_backend
{
	backend_state* backend = nullptr;
	key_role role;
};

/// Yields candidates in order of rank, best first. Usually one of the first few is chosen, so a heap is used:
/// with 3,000 backend servers in a region a choice takes 55 us, compared to 207 us with a sorted list.
class ranked_candidates
{
public:
	/// A usable backend server and its rank.
	struct candidate
	{
		double rank; ///< Lower is better.
		backend_state* backend;
	};

	explicit ranked_candidates(std::vector<candidate> _candidates);
	std::size_t remaining() const
	{
		return m_heap.size();
	}
	backend_state& next();

private:
	std::vector<candidate> m_heap;
};

/// Progress of one choice.
struct choice_progress
{
	ranked_candidates candidates;
	std::size_t preferred_count; ///< Number of the key's own backend servers.
	/// Candidates rejected so far; those without a token are not counted, so that the next candidate takes
	/// their place.
	std::size_t rejected = 0;
	std::vector<ranked_backend> selected{}; ///< Used by rules that compare candidates; the last one is next.
	bool compared = false;                  ///< Whether `selected` was filled.
};

/// What varies between the rules of choice: the order of the candidates, and which of them have a slot.
class backend_choice_rule_base
{
public:
	virtual ~backend_choice_rule_base() = default;
	/// @returns Rank of a backend server for requests without a key, lowest first; from 0 to
	/// k_limited_penalty - k_domain_penalty.
	virtual double load_rank(const backend_state& _backend, steady_time _now) const = 0;
	/// @param[in] _candidates Number of candidates.
	/// @returns Number of a key's own backend servers, the first ones in its order.
	virtual std::size_t own_servers(const backend_query& _query, std::size_t _candidates) const = 0;
	/// @returns The candidate to check next; a null pointer when there is none.
	virtual ranked_backend next(
	    choice_progress& _progress, const backend_query& _query, steady_time _now) const = 0;
	/// @returns Whether a backend server accepts a key that is not its own.
	virtual bool accepts_other_keys(const backend_state& _backend, steady_time _now) const = 0;
	/// @returns Whether the candidate can take the request at once or after a wait that is worth it.
	virtual bool has_slot(
	    const ranked_backend& _candidate, const backend_query& _query, steady_time _now) const = 0;
	/// Takes what the rule charges for a run at this candidate.
	/// @returns Whether the run is within the rule's bound.
	virtual bool charge_run(
	    const ranked_backend& _candidate, const backend_query& _query, steady_time _now) = 0;
	/// @returns Reason of a choice that is not one of the key's own backend servers.
	virtual backend_choice_reason reason_for_other_key() const = 0;
};

/// @returns Whether a list holds the backend server.
bool is_among(const backend_state& _backend, const std::vector<backend_id>* _ids);

/// Chooses a backend server by the query's rule. Takes a warm-up token from a cold backend server's budget
/// and a token of a reported limit.
backend_choice choose_backend(
    const backend_query& _query, const warmup_sharing_base& _warmup, steady_time _now);
} // namespace larkrack
