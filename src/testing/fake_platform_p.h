// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Fake platform: a store engine behind the etcd v3 JSON API over HTTP, with faults that are set at run time.
/// Owns: the store's data, the list of VMs, and the faults.
/// Relies on: nothing outside its process.
#pragma once

#include "testing/store_engine_p.h"

namespace larkrack
{
/// Injected faults of the fake platform.
struct platform_faults
{
	bool outage = false;  ///< Connections are closed without a response.
	int slow_ms = 0;      ///< Delay of each response, in milliseconds.
	int lose_answers = 0; ///< Number of next writes that take effect without a response.
};

/// Serves the key-value calls, "/vms", and "/fake/..." for control by tests. Not thread-safe.
class fake_platform
{
public:
	explicit fake_platform(asio::io_context& _context);
	/// Starts to listen and to expire leases.
	std::optional<error> init(const endpoint& _endpoint);
	/// @returns The port that the server listens on.
	std::uint16_t port() const
	{
		return m_server.port();
	}
	/// Sets faults from JSON; unknown fields are ignored. "save" takes a snapshot of the data, and "restore"
	/// goes back to it.
	void set_faults(const nlohmann::json& _faults);
	/// @returns Number of calls by path, and the revision of the store.
	nlohmann::json counts() const;
	store_engine& engine()
	{
		return m_engine;
	}

private:
	void handle(http_session& _session, http_request& _request, const yield_context& _yield);
	void handle_fake(http_session& _session, const http_request& _request, const yield_context& _yield);
	void handle_watch(http_session& _session, const nlohmann::json& _body, const yield_context& _yield);
	/// @returns The response body; null for an unknown path.
	nlohmann::json call(const std::string& _path, const nlohmann::json& _body);
	nlohmann::json call_range(const nlohmann::json& _body) const;
	nlohmann::json call_txn(const nlohmann::json& _body);
	nlohmann::json header() const;
	nlohmann::json vm_list() const;
	void expire_leases(const yield_context& _yield);

	asio::io_context& m_context;
	clock_system m_clock;
	store_engine m_engine;
	store_engine m_saved; ///< Snapshot for the fault "restore".
	platform_faults m_faults;
	std::map<std::string, std::uint64_t> m_calls;
	std::uint64_t m_epoch = 0; ///< Incremented to close all open watches.
	nlohmann::json m_vms = nlohmann::json::object();
	http_server m_server;
};
} // namespace larkrack
