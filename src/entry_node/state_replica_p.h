// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// This node's copy of the platform's keys: configuration, registry of backend servers, evacuations, nodes.
///
/// Owns the copy, the deletes that are remembered for other nodes, and the vanished entries. When these count
/// as gone is decided in steering/entry_removal. Relies on store_sync and entry_node to hand in changes, and
/// on entry_node to call tick().
#pragma once

#include "entry_node/backend_registry_p.h"
#include "entry_node/crash_guard_p.h"
#include "entry_node/entry_log_p.h"
#include "entry_node/rollouts_p.h"
#include "steering/entry_removal_p.h"
#include "steering/routing_table_p.h"

#include "store/store_p.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace larkrack
{
/// What a key of the platform stands for.
enum class record_kind
{
	other,
	routes,         ///< The whole configuration.
	backend,        ///< One backend server.
	evacuation,     ///< One failure domain that is to get no new work.
	node,           ///< One node of larkrack.
	rollout_order,  ///< An operator's order to move a service to another version.
	rollout_status, ///< How far such a roll-out is, as nodes wrote it down.
	block,          ///< A request that ends backend servers.
};

/// Knows the keys of a platform and the form of their values.
class record_codec_base
{
public:
	virtual ~record_codec_base() = default;
	/// @returns Prefix of all keys that are of interest.
	virtual std::string prefix() const = 0;
	/// @returns Key of the whole configuration.
	virtual std::string routes_key() const = 0;
	virtual record_kind kind_of(const std::string& _key) const = 0;
	/// @returns What the key names: id of the backend server, failure domain, node.
	virtual std::string name_of(const std::string& _key) const = 0;
	virtual result<std::shared_ptr<const routing_table>> decode_routes(const std::string& _value) const = 0;
	virtual result<backend_record> decode_backend(
	    const std::string& _key, const std::string& _value) const = 0;
	/// @returns Key under which a node registers itself.
	virtual std::string node_key(const std::string& _node) const = 0;
	virtual result<rollout_order> decode_rollout(const store_value& _value) const = 0;
	virtual result<rollout_status> decode_rollout_status(const store_value& _value) const = 0;
	/// @returns What writes a state of a roll-out.
	virtual store_write rollout_status_write(const rollout_status& _status) const = 0;
	virtual result<request_block> decode_block(const store_value& _value) const = 0;
	/// @returns The request that a key of that kind is about, or an error.
	virtual result<request_fingerprint> blocked_request_of(const std::string& _key) const = 0;
	/// @returns What writes what is known of a request, or deletes it once the request is cleared.
	virtual store_write block_write(const request_block& _block) const = 0;
};

/// Changes of the store's keys between two revisions.
struct store_changes
{
	std::int64_t after = 0; ///< Revision that they begin behind; whole: any.
	bool whole = false;     ///< All keys as they are, instead of changes.
	watch_batch batch;
};

/// Entry of a backend server that does not hold yet.
struct entry_put_aside
{
	backend_record record;
	std::int64_t revision = 0;
	steady_time due{};
};

/// Some of all keys, in their order, as one node has them.
struct state_page
{
	std::int64_t store_revision = 0; ///< Up to which that node knows all keys.
	bool more = false;               ///< Whether keys follow behind the last one.
	std::vector<store_value> values;
};

/// A copy of all keys that is being taken, page by page.
struct copy_in_progress
{
	std::string last_key;
	std::int64_t revision = 0; ///< Of the oldest page; 0: none came yet.
	std::set<std::string> present;
};

/// Applies changes of the platform's keys to the routing table and the registry of backend servers. A key
/// goes back to an older revision only when the whole copy is replaced; the configuration never goes back.
class state_replica
{
public:
	using routes_handler = std::function<void(std::shared_ptr<const routing_table>)>;
	using node_handler = std::function<void(const std::string& _ip)>;

	state_replica(const clock_base& _clock, const record_codec_base& _codec, backend_registry& _backends,
	    entry_log& _log, routes_handler _on_routes, node_handler _on_node);

	/// Names who is told of roll-outs; nobody until then.
	void set_rollouts(rollout_keys_base* _rollouts)
	{
		m_rollouts = _rollouts;
	}
	/// Names who is told of blocked requests; nobody until then.
	void set_blocks(block_keys_base* _blocks)
	{
		m_blocks = _blocks;
	}
	/// Takes all keys as they are at a revision.
	void replace(const std::vector<store_value>& _values, std::int64_t _revision);
	/// @param[in] _after Key behind which the page begins; empty: the first page.
	/// @param[in] _most_bytes Of keys and values; one key more than fits.
	/// @returns Keys in their order, the configuration among them.
	state_page page_after(const std::string& _after, std::size_t _most_bytes) const;
	/// Begins to take all keys page by page, or goes on where it broke off.
	void begin_copy();
	/// Takes the next page, of any node that knows the keys. With the last one all keys are known up to the
	/// oldest page.
	void take_page(const state_page& _page);
	/// @returns Key behind which the next page begins; nothing when no copy is being taken.
	std::optional<std::string> copied_up_to() const;
	/// Takes changes from the store.
	void apply(const watch_batch& _batch);
	/// Takes changes from another node.
	/// @returns False when changes before them are missing here. They are taken all the same, since each key
	/// has a revision of its own, but the revision up to which all is known stays.
	bool apply(const store_changes& _changes);
	/// Takes one key as it is, read by itself.
	void apply(const store_value& _value)
	{
		put(_value);
	}
	/// @param[in] _revision Up to which the asking node knows all keys but the configuration.
	/// @param[in] _routes_revision Revision of the configuration that the asking node has. It may be large
	/// and travels apart: a node may know all other changes and lack it.
	/// @returns Changes behind these revisions, or all keys when they are not known any more.
	store_changes changes_after(std::int64_t _revision, std::int64_t _routes_revision = 0) const;
	/// @returns Whether changes behind a revision are not known any more, so that all keys would be told.
	bool gives_whole(std::int64_t _revision) const
	{
		return 0 == _revision || _revision < m_deletes_after;
	}
	/// @returns Revision of the configuration's key; 0 when there is none.
	std::int64_t routes_revision() const;
	/// @returns Size of the configuration as it stands in the store; 0 when there is none.
	std::size_t routes_bytes() const;
	/// Removes what has been gone for long enough; call it at a steady interval.
	void tick();
	/// Says that the store does not answer: until it does, entries may lapse although their owners live.
	void store_lost()
	{
		if (!m_removal.in_outage())
		{
			m_removal.on_store_lost(m_clock.steady());
		}
	}
	/// Says that the store answers again: owners that live write their lapsed entries again.
	void store_regained()
	{
		if (m_removal.in_outage())
		{
			m_removal.on_store_regained(m_clock.steady());
		}
	}

	std::int64_t revision() const
	{
		return m_revision;
	}

private:
	/// Removes what a copy of all keys does not have.
	void finish_copy(const std::set<std::string>& _present, std::int64_t _revision);
	void put(const store_value& _value);
	void put_and_remove(const watch_batch& _batch);
	void remove(const store_delete& _gone);
	void remember_delete(const store_delete& _gone);
	void take_routes(const watch_batch& _batch);
	void put_routes(const store_value& _value);
	/// Takes an entry of the registry; one of a former life of its backend server is put aside.
	void put_backend(const store_value& _value);
	void use_backend(const backend_record& _record, std::int64_t _revision);
	/// Takes note of an entry that names no backend server: what it named before gets no new requests.
	void refuse_backend(const store_value& _value, const error& _why);
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
	std::map<std::string, store_value> m_values;
	/// Backend servers whose entry vanished, and when that was seen.
	std::map<backend_id, steady_time> m_vanished;
	/// Entries of lives that seem to be over, and when they hold if no other comes.
	std::map<backend_id, entry_put_aside> m_put_aside;
	std::size_t m_refused_entries = 0; ///< Since the last line of the log that told of them.
	steady_time m_refused_told_at{};
	std::deque<store_delete> m_deletes; ///< The latest ones, as they came.
	/// Revisions of the deletes in m_deletes: an older state of a key that comes late is not taken.
	std::map<std::string, std::int64_t> m_deleted_at;
	std::int64_t m_deletes_after = 0; ///< Deletes behind this revision are all known.
	std::int64_t m_revision = 0;
	std::optional<copy_in_progress> m_copy;
	rollout_keys_base* m_rollouts = nullptr;
	block_keys_base* m_blocks = nullptr;
	entry_removal m_removal;
};
} // namespace larkrack
