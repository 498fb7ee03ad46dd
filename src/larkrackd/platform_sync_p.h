// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// State on which all nodes agree through the platform: configuration, records, list of VMs.
///
/// Owns: the configuration in force and this node's copies of the records. Keeps both in step with the
/// platform's store: the readers of a failure domain watch the store, and every node writes by
/// compare-and-swap.
/// Relies on: the store service, and peers to bring changes to nodes that do not read. During an outage of
/// the platform the node continues with its copies; if the platform comes back with older data, a node with
/// newer data writes its own back.
#pragma once

#include "larkrackd/config_replica_p.h"
#include "larkrackd/driver_lease_p.h"
#include "larkrackd/platform_keys_p.h"
#include "larkrackd/record_replica_p.h"
#include "larkrackd/vm_list_p.h"
#include "store/store_p.h"

#include <functional>
#include <random>
#include <set>
#include <string>

namespace larkrack
{
/// A change by an operator: puts a resource, or deletes it.
struct config_change
{
	std::string kind;
	std::string name;
	std::optional<nlohmann::json> spec; ///< No value: deletes the resource.
	std::optional<revision> expected; ///< Revision of the resource that the operator read; 0: must not exist.
};

/// Result of an operator's change.
enum class write_status
{
	accepted,
	conflict, ///< Another write changed a resource.
	invalid,  ///< The configuration would break the rules.
	not_done, ///< The platform does not answer; nothing was changed.
	unsure,   ///< The platform stopped answering during the write: outcome unknown.
	older,    ///< The platform holds older data than this node, which writes its own back.
};

struct write_result
{
	write_status status = write_status::not_done;
	revision rev; ///< Revision in force afterwards.
	std::vector<mistake> mistakes;
	std::string conflicting;  ///< "kind/name".
	revision conflicting_rev; ///< Revision of that resource.
};

/// Control thread only.
class platform_sync : public service_base
{
public:
	platform_sync(asio::io_context& _context, std::string _node, endpoint _platform);
	const char* name() const override
	{
		return "platform_sync";
	}
	std::optional<error> init(kernel& _kernel) override;
	void shutdown() override;

	/// @returns Configuration in force.
	config_replica& configuration()
	{
		return m_configuration;
	}
	record_replica& records()
	{
		return m_records;
	}
	/// @returns Entry VMs that are gone by the platform's list.
	const std::set<std::string>& gone() const
	{
		return m_vms.gone();
	}
	/// @returns Whether the platform answered the last call.
	bool is_platform_up() const
	{
		return m_platform_up;
	}
	/// @returns Whether the platform was last read with older data than this node's.
	bool is_platform_older() const
	{
		return m_platform_older;
	}
	/// Sets whether this node reads from the platform for its failure domain.
	void set_reader(bool _reader)
	{
		m_reader = _reader;
	}
	/// Sets the handler that is called after the configuration, a record or the list of VMs has changed.
	/// @param[in] _on_change First argument: whether the configuration changed. Second: the records that
	/// changed.
	void on_change(std::function<void(bool, const std::vector<record>&)> _on_change)
	{
		m_on_change = std::move(_on_change);
	}
	/// Applies a configuration from a peer.
	apply_status take(const message_config& _message);
	/// Takes those records from a peer that are newer than this node's copies.
	void take(const std::vector<record>& _records);

	/// Writes an operator's changes, all or none.
	/// @param[in] _dry_run Only checks the changes.
	write_result write(
	    const std::vector<config_change>& _changes, bool _dry_run, const yield_context& _yield);
	/// Changes a record by compare-and-swap.
	/// @param[in] _use Name under which the calls are counted.
	/// @param[in] _next Returns the new text for the present one (empty: no record yet); without a value the
	/// record stays.
	/// @returns Whether the new text is in force.
	call_status update_record(const char* _use, const std::string& _key,
	    const std::function<std::optional<std::string>(const std::string&)>& _next,
	    const yield_context& _yield);
	/// Acquires or renews the lease of the shift driver.
	/// @returns Whether this node holds the lease.
	bool hold_driver_lease(const yield_context& _yield);
	/// @returns Number of calls to the platform by use.
	std::map<std::string, std::uint64_t> calls() const;
	/// Blocks this node's calls to the platform. For tests.
	void set_partitioned(bool _cut);

private:
	void run_reader(const yield_context& _yield);
	void run_vm_polls(const yield_context& _yield);
	bool read_all(const yield_context& _yield, std::int64_t& _revision);
	bool read_config(const yield_context& _yield);
	void take_batch(const watch_batch& _batch);
	void take_store_records(const std::vector<store_value>& _values);
	void set_platform_up(bool _up);
	bool restore(const yield_context& _yield);
	void notify(bool _config, const std::vector<record>& _records);
	std::optional<write_result> check_changes(
	    const std::vector<config_change>& _changes, config_state& _next, const std::string& _id);
	txn_reply write_until_known(const std::vector<store_compare>& _conditions,
	    const std::vector<store_write>& _writes, const yield_context& _yield);
	bool is_written(const config_change& _change, const std::string& _id, const yield_context& _yield);
	/// Result of comparing this node's configuration with the platform's before a write.
	enum class catch_up_status
	{
		in_sync,            ///< Both have the same revision.
		platform_was_older, ///< The platform had an older revision; its head must be read again.
		no_answer,          ///< The platform does not answer.
	};
	/// @param[out] _head_revision Store revision at which the head was last written; 0: there is no head.
	catch_up_status catch_up(const yield_context& _yield, std::int64_t& _head_revision);
	/// Writes checked changes if the head has not changed since it was read.
	/// @returns The result; nothing if another write came first.
	std::optional<write_status> write_once(const std::vector<config_change>& _changes,
	    const config_state& _next, const std::string& _id, std::int64_t _head_revision,
	    const yield_context& _yield);
	void activate(config_state _next, const std::string& _id);

	asio::io_context& m_context;
	std::string m_node;
	store_base* m_store = nullptr;
	config_replica m_configuration;
	record_replica m_records;
	vm_list m_vms;
	driver_lease m_lease;
	std::function<void(bool, const std::vector<record>&)> m_on_change;
	std::mt19937_64 m_random;
	bool m_reader = true;
	bool m_platform_up = false;
	bool m_platform_older = false;
	bool m_stopping = false;
	bool m_cut = false;
};
} // namespace larkrack
