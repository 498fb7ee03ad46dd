// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Client of the key-value store: reads, compare-and-swap transactions, leases, watches.
///
/// Decides: the status of a call (call_status). A write whose response was lost is `unsure`, never
/// `not_done`.
/// Owns: connections to the store, and a count of calls by purpose. Retries and backoff are left to the users
/// of this interface.
/// Relies on: a store that assigns one monotonically increasing revision to each write, and that responds
/// within k_platform_deadline.
#pragma once

#include "base/http_p.h"
#include "base/watch_times_p.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace larkrack
{
/// Status of a call.
enum class call_status
{
	done,     ///< The write took effect, or the read returned a complete result.
	not_done, ///< The call had no effect.
	unsure,   ///< The write may have taken effect; read the keys back before continuing.
};

/// Key and value. Lease 0: the key has no lease.
struct store_value
{
	std::string key;
	std::string value;
	std::int64_t mod_revision = 0;
	std::int64_t lease = 0;
};

/// Condition of a transaction: the key has this modification revision; 0: the key does not exist.
struct store_compare
{
	std::string key;
	std::int64_t mod_revision = 0;
};

/// Write of a transaction. Without a value, the key is deleted.
struct store_write
{
	std::string key;
	std::optional<std::string> value;
	std::int64_t lease = 0;
};

struct range_reply
{
	call_status status = call_status::not_done;
	std::vector<store_value> values;
	std::int64_t store_revision = 0;
};

struct txn_reply
{
	call_status status = call_status::not_done;
	bool succeeded = false; ///< Whether all conditions held and the writes were applied.
	std::int64_t store_revision = 0;
	std::vector<store_value>
	    current; ///< If the conditions did not hold: current values of the compared keys.
};

struct lease_reply
{
	call_status status = call_status::not_done;
	std::int64_t id = 0;
	std::chrono::seconds ttl{0}; ///< Time to live; 0 from a keep-alive: the lease has expired.
};

/// Deletion of a key.
struct store_delete
{
	std::string key;
	std::int64_t mod_revision = 0; ///< Revision of the deletion; 0: the revision of the batch.
};

/// Changes that a watch delivers together.
struct watch_batch
{
	std::vector<store_value> puts;
	std::vector<store_delete> deletes;
	std::int64_t store_revision = 0;
};

/// Why a watch ended. The store does not log this; platform_sync logs the cases that matter.
enum class watch_end
{
	stopped,      ///< The callback returned false.
	broken,       ///< The connection to the store failed; the watch can resume from the last revision.
	silent,       ///< A connection that had worked says nothing; the watch can resume on another one at once.
	history_lost, ///< The store has compacted the requested revision; all keys must be read again.
};

/// A call that the store did not answer, or answered with a status that is no result.
struct failed_call
{
	std::string use;
	std::string why;
	bool kept_connection = false; ///< Whether its connection had carried an earlier call.
	std::chrono::milliseconds taken{0};
};

/// Chooses the times of the calls of a watch, and learns from their responses.
class watch_pacer_base
{
public:
	virtual ~watch_pacer_base() = default;
	/// @returns Times of the call that begins now.
	virtual watch_times next_watch() = 0;
	/// Called when a call has ended with a response.
	virtual void on_watch_response(
	    const watch_times& _times, bool _has_changes, std::chrono::milliseconds _taken) = 0;
};

/// Interface of the key-value store. Each call states its purpose (`_use`); calls are counted by purpose.
class store_base : public service_base
{
public:
	const char* name() const override
	{
		return "store";
	}
	/// Reads one key, or all keys with a prefix.
	virtual range_reply range(
	    const char* _use, const std::string& _key, bool _prefix, const yield_context& _yield) = 0;
	/// Reads like range(), but from a replica that may be seconds old, which costs the store less. The
	/// returned revision is that of the replica, so that a watch from this revision misses no change.
	virtual range_reply range_stale(
	    const char* _use, const std::string& _key, bool _prefix, const yield_context& _yield)
	{
		return range(_use, _key, _prefix, _yield);
	}
	/// Applies all writes atomically if all conditions hold.
	virtual txn_reply txn(const char* _use, const std::vector<store_compare>& _conditions,
	    const std::vector<store_write>& _writes, const yield_context& _yield) = 0;
	virtual lease_reply lease_grant(
	    const char* _use, std::chrono::seconds _ttl, const yield_context& _yield) = 0;
	virtual lease_reply lease_keep_alive(const char* _use, std::int64_t _id, const yield_context& _yield) = 0;
	virtual lease_reply lease_revoke(const char* _use, std::int64_t _id, const yield_context& _yield) = 0;
	/// Passes each change to keys with a prefix to a callback, until the callback returns false or the watch
	/// fails.
	/// @param[in] _from First store revision to deliver; 0: only changes from now on.
	virtual watch_end watch(const char* _use, const std::string& _prefix, std::int64_t _from,
	    const std::function<bool(const watch_batch&)>& _on_batch, const yield_context& _yield) = 0;

	/// Sets who chooses the times of watches; an implementation whose watches are no repeated calls ignores
	/// it. It must outlive the calls.
	void set_watch_pacer(watch_pacer_base* _pacer)
	{
		m_pacer = _pacer;
	}
	/// Ends the watch in progress, if any, as silent.
	virtual void abandon_watch()
	{
	}
	/// Sets the receiver of failed calls, for the log.
	void set_failure_handler(std::function<void(const failed_call&)> _handler)
	{
		m_on_failure = std::move(_handler);
	}

	/// @returns Number of calls by purpose, since the process started.
	const std::map<std::string, std::uint64_t>& calls() const
	{
		return m_calls;
	}

protected:
	void count(const char* _use)
	{
		++m_calls[_use];
	}
	watch_pacer_base* pacer() const
	{
		return m_pacer;
	}
	void report_failure(const failed_call& _call) const
	{
		if (m_on_failure)
		{
			m_on_failure(_call);
		}
	}

private:
	std::map<std::string, std::uint64_t> m_calls;
	watch_pacer_base* m_pacer = nullptr;
	std::function<void(const failed_call&)> m_on_failure;
};

/// Store client for the etcd v3 JSON gateway.
class store_http : public store_base
{
public:
	store_http(asio::io_context& _context, endpoint _endpoint);
	range_reply range(
	    const char* _use, const std::string& _key, bool _prefix, const yield_context& _yield) override;
	txn_reply txn(const char* _use, const std::vector<store_compare>& _conditions,
	    const std::vector<store_write>& _writes, const yield_context& _yield) override;
	lease_reply lease_grant(
	    const char* _use, std::chrono::seconds _ttl, const yield_context& _yield) override;
	lease_reply lease_keep_alive(const char* _use, std::int64_t _id, const yield_context& _yield) override;
	lease_reply lease_revoke(const char* _use, std::int64_t _id, const yield_context& _yield) override;
	watch_end watch(const char* _use, const std::string& _prefix, std::int64_t _from,
	    const std::function<bool(const watch_batch&)>& _on_batch, const yield_context& _yield) override;
	/// Partitions the node from the platform. For tests.
	void set_partitioned(bool _cut)
	{
		m_partitioned = _cut;
	}

private:
	struct reply
	{
		call_status status;
		nlohmann::json body;
	};
	reply post(const char* _use, const char* _path, const nlohmann::json& _body, bool _writes,
	    const yield_context& _yield);

	asio::io_context& m_context;
	endpoint m_endpoint;
	http_caller m_caller;
	bool m_partitioned = false;
};

/// @returns An integer field of the gateway's JSON. As in protobuf's JSON mapping, the field may be a string,
/// and a missing field is 0.
std::int64_t integer_field(const nlohmann::json& _object, const char* _field);
/// @returns A string in base64, the encoding of keys and values in the gateway's JSON.
std::string to_base64(const std::string& _text);
/// @returns The decoded base64 string, up to the first invalid character. Only used for responses of the
/// store.
std::string from_base64(const std::string& _text);
/// @returns End (exclusive) of the range of all keys with a prefix.
std::string prefix_end(std::string _prefix);
} // namespace larkrack
