// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Everything that this node agrees with others through the platform: configuration, records, the list of
/// VMs. Owns the configuration in force and this node's copies of the records, and keeps both in step with
/// the platform's store: readers of a failure domain watch it, everybody writes by compare-and-swap. Relies
/// on the store service, and on peers to bring changes to nodes that do not read. While the platform is down
/// the node goes on with what it knows; when it comes back with older data, a newer node writes its own back.
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
/// One operator's change: put a resource, or delete it.
struct config_change
{
	std::string kind;
	std::string name;
	std::optional<nlohmann::json> spec; ///< No spec: delete.
	std::optional<revision> expected; ///< Revision of the resource that the operator saw; 0: must not exist.
};

/// What became of an operator's change.
enum class write_status
{
	accepted,
	conflict, ///< A resource was changed by somebody else.
	invalid,  ///< The configuration would break the rules.
	not_done, ///< The platform does not answer; nothing was changed.
	unsure,   ///< The platform stopped answering in the middle.
	older,    ///< The platform holds older data than this node; it is being written back.
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
		return m_book;
	}
	record_replica& records()
	{
		return m_records;
	}
	/// @returns Entry VMs that the platform's list says are gone.
	const std::set<std::string>& gone() const
	{
		return m_vms.gone();
	}
	/// @returns Whether the last call was answered.
	bool is_up() const
	{
		return m_up;
	}
	/// @returns Whether the platform was seen with older data.
	bool is_older() const
	{
		return m_older;
	}
	/// Tells whether this node shall read from the platform for its failure domain.
	void set_reader(bool _reader)
	{
		m_reader = _reader;
	}
	/// Called after the configuration, a record or the list of VMs has changed.
	/// @param[in] _on_change First: the configuration changed. Second: records that changed.
	void on_change(std::function<void(bool, const std::vector<record>&)> _on_change)
	{
		m_on_change = std::move(_on_change);
	}
	/// Takes a configuration from a peer, or says why not.
	take_status take(const message_config& _message);
	/// Takes records from a peer.
	void take(const std::vector<record>& _records);

	/// Makes an operator's changes, all or none.
	/// @param[in] _dry_run Checks only.
	write_result write(
	    const std::vector<config_change>& _changes, bool _dry_run, const yield_context& _yield);
	/// Changes a record by compare-and-swap.
	/// @param[in] _next Makes the new text from the present one (empty: none); no value: leave it.
	/// @returns Whether the new text is in force.
	call_status update_record(const char* _use, const std::string& _key,
	    const std::function<std::optional<std::string>(const std::string&)>& _next,
	    const yield_context& _yield);
	/// Tries to get or keep the lease of the shift driver.
	/// @returns Whether this node holds it.
	bool hold_driver_lease(const yield_context& _yield);
	/// @returns Calls to the platform by use.
	std::map<std::string, std::uint64_t> calls() const;
	/// Cuts this node off from the platform. For tests.
	void set_cut(bool _cut);

private:
	void read_for_ever(const yield_context& _yield);
	void poll_vms_for_ever(const yield_context& _yield);
	bool read_all(const yield_context& _yield, std::int64_t& _revision);
	bool read_config(const yield_context& _yield);
	void take_batch(const watch_batch& _batch);
	void take_store_records(const std::vector<store_value>& _values);
	void note(bool _up);
	bool restore(const yield_context& _yield);
	void tell(bool _config, const std::vector<record>& _records);
	std::optional<write_result> check(
	    const std::vector<config_change>& _changes, config_state& _next, const std::string& _id);
	txn_reply write_until_sure(const std::vector<store_compare>& _conditions,
	    const std::vector<store_write>& _writes, const yield_context& _yield);
	bool is_written(const config_change& _change, const std::string& _id, const yield_context& _yield);
	/// How this node stands to the platform's configuration before a write.
	enum class catch_up_end
	{
		level,        ///< Both have the same.
		was_older,    ///< The platform had an older one; it is to be looked at again.
		not_answered, ///< The platform does not answer.
	};
	/// @param[out] _head_at Store revision of the head that was read; 0: there is none.
	catch_up_end catch_up(const yield_context& _yield, std::int64_t& _head_at);
	/// Writes a checked change if the head is still as it was read.
	/// @returns How it ended; nothing when another change came first.
	std::optional<write_status> write_once(const std::vector<config_change>& _changes,
	    const config_state& _next, const std::string& _id, std::int64_t _head_at,
	    const yield_context& _yield);
	void put_in_force(config_state _next, const std::string& _id);

	asio::io_context& m_context;
	std::string m_node;
	store_base* m_store = nullptr;
	config_replica m_book;
	record_replica m_records;
	vm_list m_vms;
	driver_lease m_lease;
	std::function<void(bool, const std::vector<record>&)> m_on_change;
	std::mt19937_64 m_random;
	bool m_reader = true;
	bool m_up = false;
	bool m_older = false;
	bool m_stopping = false;
	bool m_cut = false;
};
} // namespace larkrack
