// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// This node's replica of the platform's keys: configuration, registry of backend servers, evacuations,
/// nodes, rollouts and blocked requests.
///
/// Owns the replica, the recent deletes that other nodes may request, and the vanished registry entries,
/// whose time of removal steering/entry_removal decides. Relies on store_sync and entry_node to pass in
/// changes, and on entry_node to call tick().
#pragma once

#include "entry_node/backend_registry_p.h"
#include "entry_node/crash_guard_p.h"
#include "entry_node/entry_log_p.h"
#include "entry_node/rollouts_p.h"
#include "steering/entry_removal_p.h"
#include "steering/routing_table_p.h"

#include "store/store_p.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace larkrack
{
/// Kind of object that a key of the platform holds.
enum class record_kind
{
	other,
	routes,         ///< The whole configuration.
	backend,        ///< One backend server.
	evacuation,     ///< One failure domain that gets no new requests.
	node,           ///< One node of the fleet.
	rollout_order,  ///< An operator's order to move a service to another version.
	rollout_status, ///< Progress of a rollout, as written by nodes.
	block,          ///< Evidence about a request that crashes backend servers.
};

/// Key layout and value format of a platform's store.
class record_codec_base
{
public:
	virtual ~record_codec_base() = default;
	/// @returns Prefix of all keys that this node replicates.
	virtual std::string prefix() const = 0;
	/// @returns Key of the whole configuration.
	virtual std::string routes_key() const = 0;
	virtual record_kind kind_of(const std::string& _key) const = 0;
	/// @returns The name in the key: id of a backend server, failure domain, node or service.
	virtual std::string name_of(const std::string& _key) const = 0;
	virtual result<std::shared_ptr<const routing_table>> decode_routes(const std::string& _value) const = 0;
	virtual result<backend_record> decode_backend(
	    const std::string& _key, const std::string& _value) const = 0;
	/// @returns Key under which a node registers itself.
	virtual std::string node_key(const std::string& _node) const = 0;
	virtual result<rollout_order> decode_rollout(const store_value& _value) const = 0;
	virtual result<rollout_status> decode_rollout_status(const store_value& _value) const = 0;
	/// @returns The write that stores the status of a rollout.
	virtual store_write rollout_status_write(const rollout_status& _status) const = 0;
	virtual result<request_block> decode_block(const store_value& _value) const = 0;
	/// @returns Fingerprint of the request that a key of kind block refers to, or an error.
	virtual result<request_fingerprint> blocked_request_of(const std::string& _key) const = 0;
	/// @returns The write that stores the evidence about a request, or deletes its key if the request is
	/// cleared.
	virtual store_write block_write(const request_block& _block) const = 0;
};

/// Changes of the store's keys between two revisions.
struct store_changes
{
	std::int64_t after = 0; ///< Revision after which the changes begin; not used when whole is set.
	bool whole = false;     ///< Whether the batch holds all keys instead of changes.
	watch_batch batch;
};

/// Registry entry of a backend server that is not applied yet.
struct deferred_entry
{
	backend_record record;
	std::int64_t revision = 0;
	steady_time due{};
};

/// One page of a full copy: consecutive keys in order, as one node has them.
struct state_page
{
	std::int64_t store_revision = 0; ///< Revision up to which the sending node knows all keys.
	bool more = false;               ///< Whether more keys follow after the last value.
	std::vector<store_value> values;
};

/// State of a full copy that is being fetched page by page.
struct copy_in_progress
{
	std::string last_key;
	std::int64_t revision = 0; ///< Lowest revision of the pages so far; 0: no page arrived yet.
	std::set<std::string> present;
};

/// Applies changes of the platform's keys to the routing table, the registry of backend servers, rollouts
/// and blocked requests. An older value never replaces a newer value of the same key, in whatever order
/// changes arrive. A full copy removes the keys that it lacks, except the configuration and keys that changed
/// later.
class state_replica
{
public:
	using routes_handler = std::function<void(std::shared_ptr<const routing_table>)>;
	using node_handler = std::function<void(const std::string& _ip)>;

	state_replica(const clock_base& _clock, const record_codec_base& _codec, backend_registry& _backends,
	    entry_log& _log, routes_handler _on_routes, node_handler _on_node);

	/// Sets the receiver of rollout keys; without a receiver the keys are ignored.
	void set_rollouts(rollout_listener_base* _rollouts)
	{
		m_rollouts = _rollouts;
	}
	/// Sets the receiver of block keys; without a receiver the keys are ignored.
	void set_blocks(block_listener_base* _blocks)
	{
		m_blocks = _blocks;
	}
	/// Sets where the changes come from that are applied from now on, for the log.
	void set_source(std::string _source)
	{
		m_source = std::move(_source);
	}
	/// Replaces the replica by all keys of the store at a revision.
	void replace(const std::vector<store_value>& _values, std::int64_t _revision);
	/// @param[in] _after Last key before the page; empty: the first page.
	/// @param[in] _max_bytes Size of keys and values at which the page ends; the last value may exceed it.
	/// @returns Values in the order of their keys, including the configuration.
	state_page page_after(const std::string& _after, std::size_t _max_bytes) const;
	/// Starts a full copy page by page, or resumes an interrupted one.
	void begin_copy();
	/// Applies the next page, from any node that has the keys. After the last page, all keys are known up to
	/// the lowest revision of the pages.
	void apply_page(const state_page& _page);
	/// @returns Last key before the next page; nothing when no full copy is in progress.
	std::optional<std::string> copy_position() const;
	/// Applies changes from the store.
	void apply(const watch_batch& _batch);
	/// Applies changes from another node.
	/// @returns False when earlier changes are missing here. The changes are applied all the same, since each
	/// key has a revision of its own, but revision() stays as it is.
	bool apply(const store_changes& _changes);
	/// Applies one key that was read on its own.
	void apply(const store_value& _value)
	{
		put(_value);
	}
	/// @param[in] _revision Revision up to which the requesting node knows all keys but the configuration.
	/// @param[in] _routes_revision Revision of the requesting node's configuration. The configuration may be
	/// large and is transferred separately: a node may know all other changes and lack the configuration.
	/// @returns Changes since these revisions, or all keys when the changes are not known any more.
	store_changes changes_after(std::int64_t _revision, std::int64_t _routes_revision = 0) const;
	/// Notes that the configuration is the newest one up to a revision of the store, as only the store itself
	/// can tell: other nodes send the configuration apart from all other keys.
	void on_routes_confirmed(std::int64_t _revision)
	{
		m_routes_confirmed_to = std::max(m_routes_confirmed_to, _revision);
	}
	/// @returns Revision up to which the configuration is known to be the newest one; 0: none.
	std::int64_t routes_confirmed_to() const
	{
		return m_routes_confirmed_to;
	}
	/// @returns Whether a watch from revision() on misses no change of the configuration.
	bool routes_confirmed() const
	{
		return m_routes_confirmed_to >= m_revision;
	}
	/// @returns Whether changes since a revision are not known any more, so that all keys are needed.
	bool needs_full_copy(std::int64_t _revision) const
	{
		return 0 == _revision || _revision < m_deletes_complete_after;
	}
	/// @returns Revision of the configuration's key; 0 without a configuration.
	std::int64_t routes_revision() const;
	/// @returns Size of the configuration's value in bytes; 0 without a configuration.
	std::size_t routes_bytes() const;
	/// Removes backend servers whose entry vanished long enough ago, and applies deferred entries that are
	/// due. Call it at a steady interval.
	void tick();
	/// Notes that the store is unreachable: until it is reachable again, leases of registry entries may
	/// expire although their backend servers are alive.
	void on_store_unreachable()
	{
		if (!m_removal.in_outage())
		{
			m_removal.on_store_lost(m_clock.steady());
		}
	}
	/// Notes that the store is reachable again: live backend servers write their expired entries again.
	void on_store_reachable()
	{
		if (m_removal.in_outage())
		{
			m_removal.on_store_recovered(m_clock.steady());
		}
	}

	/// @returns Store revision up to which all keys but the configuration are known; 0: none.
	std::int64_t revision() const
	{
		return m_revision;
	}

private:
	/// Completes a full copy: removes the keys that it does not contain.
	void finish_copy(const std::set<std::string>& _present, std::int64_t _revision);
	void put(const store_value& _value);
	void put_and_remove(const watch_batch& _batch);
	void remove(const store_delete& _deletion);
	void record_delete(const store_delete& _deletion);
	void apply_routes_only(const watch_batch& _batch);
	void put_routes(const store_value& _value);
	/// Applies a registry entry; an entry of an earlier incarnation of the backend server is deferred.
	void put_backend(const store_value& _value);
	void apply_backend(const backend_record& _record, std::int64_t _revision);
	/// Handles a registry entry that cannot be decoded: the backend server that the key held before gets no
	/// new requests and counts as vanished.
	void reject_entry(const store_value& _value, const error& _why);
	void update_evacuations();
	void put_rollout_order(const store_value& _value);
	void put_rollout_status(const store_value& _value);
	void remove_rollout(const std::string& _key);
	void put_block(const store_value& _value);
	void remove_block(const std::string& _key);

	const clock_base& m_clock;
	const record_codec_base& m_codec;
	backend_registry& m_backends;
	entry_log& m_log;
	routes_handler m_on_routes;
	node_handler m_on_node;
	std::string m_source;
	std::map<std::string, store_value> m_values;
	/// Backend servers whose entry vanished, with the time at which this node saw it.
	std::map<backend_id, steady_time> m_vanished;
	/// Entries that seem to belong to an earlier incarnation. They are applied when due, unless another entry
	/// of the backend server arrives first.
	std::map<backend_id, deferred_entry> m_deferred_entries;
	std::size_t m_rejected_entries = 0; ///< Undecodable entries since the last log line about them.
	steady_time m_rejection_logged_at{};
	std::deque<store_delete> m_deletes; ///< The latest deletes, in order of arrival.
	/// Revision of the delete in m_deletes by key, to ignore older values of the key that arrive late.
	std::map<std::string, std::int64_t> m_deleted_at;
	std::int64_t m_deletes_complete_after = 0; ///< All deletes after this revision are known.
	std::int64_t m_revision = 0;               ///< All keys but the configuration are known up to it.
	std::int64_t m_routes_confirmed_to = 0;    ///< The configuration is the newest one up to it.
	std::optional<copy_in_progress> m_copy;
	rollout_listener_base* m_rollouts = nullptr;
	block_listener_base* m_blocks = nullptr;
	entry_removal m_removal;
};
} // namespace larkrack
