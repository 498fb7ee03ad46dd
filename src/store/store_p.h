// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Client of the key-value store: reads, compare-and-swap transactions, leases, watches.
///
/// Decides: what is known after a call (call_status): a lost answer to a write is `unsure`, never
/// `not_done`.
/// Owns: its connections and a count of calls by use. It neither repeats calls nor backs off: callers do.
/// Relies on: a store that gives each write one revision which only grows, and that answers within
/// k_platform_deadline.
#pragma once

#include "base/http_p.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace larkrack
{
/// What is known of a call.
enum class call_status
{
	done,     ///< It took effect, or its answer is complete.
	not_done, ///< It had no effect.
	unsure,   ///< It may have had an effect; read back before anything follows.
};

struct store_value
{
	std::string key;
	std::string value;
	std::int64_t mod_revision = 0;
	std::int64_t lease = 0;
};

/// Condition of a transaction. Revision 0: the key does not exist.
struct store_compare
{
	std::string key;
	std::int64_t mod_revision = 0;
};

/// Write of a transaction. No value: delete.
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
	bool succeeded = false; ///< Whether all conditions held.
	std::int64_t store_revision = 0;
	std::vector<store_value> current; ///< When they did not: the compared keys as they are.
};

struct lease_reply
{
	call_status status = call_status::not_done;
	std::int64_t id = 0;
	std::chrono::seconds ttl{0}; ///< 0 from a keep-alive: the lease has lapsed.
};

/// Delete of a key.
struct store_delete
{
	std::string key;
	std::int64_t mod_revision = 0; ///< Revision of the delete; 0: that of the batch.
};

/// One batch of a watch.
struct watch_batch
{
	std::vector<store_value> puts;
	std::vector<store_delete> deletes;
	std::int64_t store_revision = 0;
};

/// Why a watch ended. None of these is logged here: platform_sync knows which of them matters.
enum class watch_end
{
	stopped,      ///< The callback asked for it.
	broken,       ///< The platform does not answer; the watch may go on from where it was.
	history_lost, ///< Changes after the revision are no longer known; the keys must be read anew.
};

/// Each call names its use; calls are counted by that name.
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
	/// Reads like range() from a copy of the store that may be seconds old and costs it less. The revision is
	/// that of the copy, so that a watch from there misses nothing.
	virtual range_reply range_old(
	    const char* _use, const std::string& _key, bool _prefix, const yield_context& _yield)
	{
		return range(_use, _key, _prefix, _yield);
	}
	/// Writes if all conditions hold.
	virtual txn_reply txn(const char* _use, const std::vector<store_compare>& _conditions,
	    const std::vector<store_write>& _writes, const yield_context& _yield) = 0;
	virtual lease_reply lease_grant(
	    const char* _use, std::chrono::seconds _ttl, const yield_context& _yield) = 0;
	virtual lease_reply lease_keep_alive(const char* _use, std::int64_t _id, const yield_context& _yield) = 0;
	virtual lease_reply lease_revoke(const char* _use, std::int64_t _id, const yield_context& _yield) = 0;
	/// Calls back for each change to keys with a prefix, until the callback returns false or the watch
	/// breaks.
	/// @param[in] _from First store revision of interest; 0: from now on.
	virtual watch_end watch(const char* _use, const std::string& _prefix, std::int64_t _from,
	    const std::function<bool(const watch_batch&)>& _on_batch, const yield_context& _yield) = 0;

	/// @returns Calls by use, since the start.
	const std::map<std::string, std::uint64_t>& calls() const
	{
		return m_calls;
	}

protected:
	void count(const char* _use)
	{
		++m_calls[_use];
	}

private:
	std::map<std::string, std::uint64_t> m_calls;
};

/// The platform over the etcd v3 JSON gateway.
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
	/// Cuts the node off from the platform. For tests.
	void set_cut(bool _cut)
	{
		m_cut = _cut;
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
	bool m_cut = false;
};

/// @returns An integer of the gateway's JSON, which may be a string, and which is left out when it is 0, as
/// protobuf asks.
std::int64_t integer_field(const nlohmann::json& _object, const char* _field);
/// @returns Base64 of a text, as the gateway wants keys and values.
std::string to_base64(const std::string& _text);
/// @returns Text of base64, up to the first character that is none. Only the store's own answers come here.
std::string from_base64(const std::string& _text);
/// @returns End of the range of all keys with a prefix.
std::string prefix_end(std::string _prefix);
} // namespace larkrack
