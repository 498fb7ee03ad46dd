// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Rollouts in progress: selects the version for each request, collects results, and writes the state of a
/// rollout to the store.
///
/// Owns the orders, the evidence (counts of requests by version and route) of this node and, where this node
/// may decide, the evidence that other nodes reported. The rules are in steering/rollout_share,
/// rollout_verdict and rollout_plan. Relies on state_replica to pass in orders and states, on the fleet view
/// for the two nodes that decide a rollout (the first decider and its backup), and on entry_node to send
/// datagrams, to pass in received datagrams, to write to the store and to call tick().
#pragma once

#include "entry_node/backend_registry_p.h"
#include "entry_node/entry_log_p.h"
#include "entry_node/rollout_messages_p.h"
#include "steering/fleet_view_p.h"
#include "steering/rollout_plan_p.h"
#include "steering/rollout_share_p.h"

#include <functional>
#include <map>
#include <optional>

namespace larkrack
{
/// Result of one attempt of a request at a backend server.
struct version_attempt
{
	service_name service;
	version_name version; ///< Version of the backend server.
	std::string route;
	bool failed = false; ///< The response failed or was lost, or there was none until the deadline.
	/// From sending the request to its complete response; nothing for a failed attempt or a cold backend
	/// server.
	std::optional<std::chrono::milliseconds> time;
};

/// Interface by which requests learn which version to use, and report the results of attempts.
class rollout_routing_base
{
public:
	virtual ~rollout_routing_base() = default;
	/// Counts a request of a service, and selects its version.
	/// @param[in] _position Position of the request's affinity key in [0, 1), or a random number.
	/// @returns Which backend servers the request may be sent to.
	virtual version_rule rule_for(const service_name& _service, double _position) = 0;
	/// Processes the result of an attempt that reached a backend server.
	virtual void on_attempt_end(const version_attempt& _attempt) = 0;
};

/// Receives changes of the store's keys for rollouts.
class rollout_listener_base
{
public:
	virtual ~rollout_listener_base() = default;
	virtual void on_order(const rollout_order& _order) = 0;
	virtual void on_order_removed(const service_name& _service) = 0;
	virtual void on_status(const rollout_status& _status) = 0;
	virtual void on_status_removed(const service_name& _service) = 0;
	/// Reports a key whose value is not a valid order or state.
	virtual void on_refused(const std::string& _key, const error& _why) = 0;
};

/// All rollouts that this node knows.
class rollouts : public rollout_routing_base, public rollout_listener_base
{
public:
	using sender = std::function<void(const std::vector<std::uint8_t>& _bytes, const std::string& _ip)>;
	/// Writes a state, provided that its key is still at the expected revision (0: the key does not exist).
	using writer = std::function<void(const rollout_status& _status, std::int64_t _expected_revision)>;

	/// @param[in] _max_exposed Maximum share of a service's requests, in [0, 1], that the target version gets
	/// while it is being evaluated.
	/// @param[in] _incarnation Incarnation of this node.
	rollouts(const clock_base& _clock, const fleet_view_base& _fleet, const backend_registry& _backends,
	    double _max_exposed, const node_name& _self, std::uint64_t _incarnation, entry_log& _log,
	    sender _send, writer _write);

	version_rule rule_for(const service_name& _service, double _position) override;
	void on_attempt_end(const version_attempt& _attempt) override;
	void on_order(const rollout_order& _order) override;
	void on_order_removed(const service_name& _service) override;
	void on_status(const rollout_status& _status) override;
	void on_status_removed(const service_name& _service) override;
	void on_refused(const std::string& _key, const error& _why) override;
	/// Processes the report of another node.
	void on_report(const rollout_report& _report);
	/// Must be called periodically.
	void tick();

private:
	/// An order and its progress.
	struct rollout
	{
		rollout_order order;
		steady_time known_at{}; ///< When the order became known to any node, as far as this node knows.
		rollout_share share;
		rollout_evidence own;                            ///< Observed by this node.
		std::map<std::uint32_t, rollout_report> reports; ///< By sender, where this node may decide.
		std::optional<steady_time> bad_since; ///< When the evidence of all nodes first showed a bad version.
		bool own_bad = false;                 ///< The evidence of this node alone shows a bad version.
		bool target_available = false;        ///< Whether any backend server of the target accepts requests.
		steady_time next_report{};
		steady_time next_write{};
	};

	/// @returns The state that the store holds for this order, or nothing.
	std::optional<rollout_state> stored_state(const rollout& _rollout) const;
	/// @returns Whether requests may be sent to the target while it is being evaluated.
	bool may_expose(const rollout& _rollout) const;
	/// @returns Whether any backend server of the target version accepts requests.
	bool is_target_available(const rollout_order& _order) const;
	rollout_evidence evidence_of_all(const rollout& _rollout) const;
	decider_rank rank_of(const responsible_nodes& _deciders) const;
	void report(rollout& _rollout, const responsible_nodes& _deciders);
	void decide(rollout& _rollout, decider_rank _rank);
	void write(rollout& _rollout, const rollout_step& _step, const rollout_evidence& _evidence,
	    const rollout_verdict& _verdict);

	const clock_base& m_clock;
	const fleet_view_base& m_fleet;
	const backend_registry& m_backends;
	double m_max_exposed;
	std::uint32_t m_self;
	std::uint64_t m_incarnation;
	entry_log& m_log;
	sender m_send;
	writer m_write;
	std::map<service_name, rollout> m_rollouts;
	std::map<service_name, rollout_status> m_statuses; ///< Includes services without an order.
};
} // namespace larkrack
