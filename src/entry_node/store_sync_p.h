// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Synchronizes the replica of the platform's keys with the store, and keeps this node registered there.
///
/// Owns the calls to the store and the record of its health. The rules are in src/steering: store_readers
/// decides which nodes read the store, state_copy where a node that lacks the keys gets them, store_start how
/// a node takes part in reading after its start and which nodes register, store_pacing the pauses between
/// calls, watch_pacing the times of watches. Relies on entry_node for the state of the other nodes.
#pragma once

#include "entry_node/state_replica_p.h"
#include "steering/state_copy_p.h"
#include "steering/watch_pacing_p.h"

#include <random>

namespace larkrack
{
/// Recent results of calls to the store.
struct store_health
{
	bool reached = false; ///< Whether the last recorded call succeeded.
	std::optional<steady_time> last_answer;
	steady_time last_failure{};
	int failures = 0; ///< Consecutive failed calls.
};

/// Interface of store_sync to the rest of the fleet: queries about other nodes, and events for them.
class fleet_coordination_base
{
public:
	virtual ~fleet_coordination_base() = default;
	/// @returns Whether this node is one of the nodes that read the store and inform the others.
	virtual reader_decision reader() const = 0;
	/// @returns Where this node, which lacks the keys, is to get them from now.
	virtual copy_step next_copy_step() = 0;
	/// @returns Whether this node is one of the nodes that register themselves.
	virtual bool should_register() const = 0;
	/// @returns Time of the latest response of the store to another node of this region, by their heartbeats.
	virtual std::optional<steady_time> peers_store_response_at() const = 0;
	/// Called when this node lacked the keys and has read all of them from the store.
	virtual void on_initial_read() = 0;
	/// Called with changes read from the store, which the other nodes are to be sent.
	virtual void on_store_changes(const store_changes& _changes) = 0;
};

/// Obtains the keys from other nodes or from the store, watches the store while this node is a reader, and
/// keeps a registration under a lease while this node is one of the nodes that register.
class store_sync : private watch_pacer_base
{
public:
	/// @param[in] _bounds Bounds in which changes have to be in force here.
	/// @param[in] _node_value Value of this node's registration: its IP address.
	store_sync(asio::io_context& _context, const clock_base& _clock, store_base& _store,
	    state_replica& _replica, const record_codec_base& _codec, fleet_coordination_base& _coordination,
	    entry_log& _log, const change_bounds& _bounds, std::string _node, std::string _node_value);
	~store_sync() override = default;
	store_sync(const store_sync&) = delete;
	store_sync& operator=(const store_sync&) = delete;

	/// Starts reading, watching and registering in the background.
	void begin();
	/// Stops after the call in progress.
	void end()
	{
		m_stopping = true;
	}
	/// Reads only the configuration: another node has announced a newer one, or the replica holds all other
	/// keys up to a later revision than the configuration.
	/// @returns Whether the store answered.
	bool read_routes(const yield_context& _yield);
	/// Ends a watch that says nothing of changes which other nodes know. Call it when other nodes were heard.
	/// @param[in] _known Latest changes that they have told of and this node lacks; nothing: none.
	void check_watch(const std::optional<told_changes>& _known);
	/// Writes the status of a rollout if its key is at the expected revision, and applies the resulting
	/// value of the key to the replica.
	void write_rollout_status(
	    const rollout_status& _status, std::int64_t _expected_revision, const yield_context& _yield);
	/// Writes the evidence about a request that crashes backend servers, or deletes it. All nodes that count
	/// crashes write the same value.
	void write_block(const request_block& _block, const yield_context& _yield);
	const store_health& health() const
	{
		return m_health;
	}

private:
	void sync_keys(const yield_context& _yield);
	/// Waits for a full copy from other nodes or reads the keys; returns once the keys are known or the node
	/// stops.
	void wait_for_keys(const yield_context& _yield);
	/// @param[in] _allow_stale Whether a possibly stale read is acceptable: later changes are fetched
	/// afterwards.
	/// @returns Whether all keys were read.
	bool read_all(bool _allow_stale, const yield_context& _yield);
	/// Watches from the replica's revision on, until this node is no longer a reader or the watch ends. Reads
	/// the configuration first if it may have changed before that revision.
	watch_end watch(const yield_context& _yield);
	watch_times next_watch() override;
	void on_watch_response(
	    const watch_times& _times, bool _has_changes, std::chrono::milliseconds _taken) override;
	void keep_registered(const yield_context& _yield);
	/// @returns Lease id of the registration; 0 on failure.
	std::int64_t register_node(const yield_context& _yield);
	/// Records the result of a call to the store.
	void record_result(bool _answered);
	/// Adopts from other nodes that the store is reachable again, while this node makes no calls.
	void adopt_peers_health();
	void back_off(int _tries, const yield_context& _yield);
	void pause(std::chrono::milliseconds _time, const yield_context& _yield);

	asio::io_context& m_context;
	const clock_base& m_clock;
	store_base& m_store;
	state_replica& m_replica;
	const record_codec_base& m_codec;
	fleet_coordination_base& m_coordination;
	entry_log& m_log;
	std::string m_node;
	std::string m_node_value;
	store_health m_health;
	watch_pacing m_pacing;
	steady_time m_started_at{};
	bool m_stopping = false;
	std::minstd_rand m_random;
};
} // namespace larkrack
