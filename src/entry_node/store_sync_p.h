// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Keeps the replica of the platform's keys up to date, and this node registered there.
///
/// Owns the calls to the store and what is known of its health. Which nodes read is decided in
/// steering/store_readers, what a node does that starts and which nodes register in steering/store_start, the
/// pauses in steering/store_pacing. Relies on entry_node for what other nodes
/// tell.
#pragma once

#include "entry_node/state_replica_p.h"
#include "steering/state_copy_p.h"

#include <random>

namespace larkrack
{
/// How the platform has answered lately.
struct store_health
{
	bool reached = false;
	std::optional<steady_time> last_answer;
	steady_time last_failure{};
	int failures = 0; ///< In a row.
};

/// What the reading of the store has to do with other nodes.
class store_sharing_base
{
public:
	virtual ~store_sharing_base() = default;
	/// @returns Whether this node is one of those that read the store. Others hear from them.
	virtual bool is_reader() const = 0;
	/// @returns Where this node, which lacks the keys, is to take them from now.
	virtual copy_step next_copy_step() = 0;
	/// @returns Whether this node is one of those that register.
	virtual bool is_registered_one() const = 0;
	/// @returns When the store last answered another node of this region, as far as they tell.
	virtual std::optional<steady_time> others_answered_at() const = 0;
	/// Takes note that all keys were read from the store, by a node that lacked them.
	virtual void on_first_keys() = 0;
	/// Takes changes that were read from the store, to be told to others.
	virtual void on_read(const store_changes& _changes) = 0;
};

/// Sees to it that the keys are read, by this node or by another one, and watches them while this node is a
/// reader; registers it under a lease while it is one of those that register.
class store_sync
{
public:
	/// @param[in] _node_value What is registered for this node.
	store_sync(asio::io_context& _context, const clock_base& _clock, store_base& _store,
	    state_replica& _replica, const record_codec_base& _codec, store_sharing_base& _sharing,
	    entry_log& _log, std::string _node, std::string _node_value);

	/// Starts reading, watching and registering.
	void begin();
	/// Stops after the call that is under way.
	void end()
	{
		m_stopping = true;
	}
	/// Reads the configuration alone, for a node that is told that there is a newer one.
	void read_routes(const yield_context& _yield);
	/// Writes a state of a roll-out if its key is at the expected revision; what then stands there is taken
	/// in.
	void write_rollout_status(
	    const rollout_status& _status, std::int64_t _expected_revision, const yield_context& _yield);
	/// Writes what is known of a request that ends backend servers, or takes it away; each node that counts
	/// writes the same.
	void write_block(const request_block& _block, const yield_context& _yield);
	const store_health& health() const
	{
		return m_health;
	}

private:
	void follow(const yield_context& _yield);
	/// Waits for a copy of the keys from other nodes, or reads them; returns with them, or when the node
	/// stops.
	void obtain_keys(const yield_context& _yield);
	/// @param[in] _old Whether a copy of the store that may be old will do: what changed since is learned
	/// later.
	/// @returns Whether all keys were read.
	bool read_all(bool _old, const yield_context& _yield);
	/// Watches from the replica's revision on, until this node is no reader any more or the watch ends.
	watch_end watch(const yield_context& _yield);
	void keep_registered(const yield_context& _yield);
	/// @returns Lease of the registration, or 0.
	std::int64_t register_node(const yield_context& _yield);
	void note(bool _answered);
	/// Takes from other nodes that the store is back, while this node does not call it.
	void learn_health();
	void back_off(int _tries, const yield_context& _yield);
	void pause(std::chrono::milliseconds _time, const yield_context& _yield);

	asio::io_context& m_context;
	const clock_base& m_clock;
	store_base& m_store;
	state_replica& m_replica;
	const record_codec_base& m_codec;
	store_sharing_base& m_sharing;
	entry_log& m_log;
	std::string m_node;
	std::string m_node_value;
	store_health m_health;
	steady_time m_began{};
	bool m_stopping = false;
	std::minstd_rand m_random;
};
} // namespace larkrack
