// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The platform stand-in: a store engine behind HTTP, with faults that are set at run time.
/// Owns: the store's data, the list of VMs, the faults. Relies on: nothing outside its process.
#pragma once

#include "testing/store_engine_p.h"

namespace larkrack
{
/// Faults of the platform stand-in.
struct platform_faults
{
	bool outage = false;  ///< Connections are closed without an answer.
	int slow_ms = 0;      ///< Each answer is held back.
	int lose_answers = 0; ///< So many next writes take effect, but get no answer.
};

/// Serves the key-value calls, "/vms", and "/fake/..." for tests. Runs on one thread.
class fake_platform
{
public:
	explicit fake_platform(asio::io_context& _context);
	/// Listens.
	std::optional<error> init(const endpoint& _endpoint);
	/// @returns The port in use.
	std::uint16_t port() const
	{
		return m_server.port();
	}
	/// Sets faults from JSON; unknown fields are ignored.
	void set_faults(const nlohmann::json& _faults);
	/// @returns Calls by path, and the revision.
	nlohmann::json counts() const;
	store_engine& engine()
	{
		return m_engine;
	}

private:
	void handle(http_session& _session, http_request& _request, const yield_context& _yield);
	void handle_fake(http_session& _session, const http_request& _request, const yield_context& _yield);
	void handle_watch(http_session& _session, const nlohmann::json& _body, const yield_context& _yield);
	nlohmann::json call(const std::string& _path, const nlohmann::json& _body);
	nlohmann::json call_range(const nlohmann::json& _body) const;
	nlohmann::json call_txn(const nlohmann::json& _body);
	nlohmann::json header() const;
	nlohmann::json shown_vms() const;
	void run_leases(const yield_context& _yield);

	asio::io_context& m_context;
	clock_system m_clock;
	store_engine m_engine;
	store_engine m_saved;
	platform_faults m_faults;
	std::map<std::string, std::uint64_t> m_calls;
	std::uint64_t m_epoch = 0; ///< Changes when all watches must break.
	nlohmann::json m_vms = nlohmann::json::object();
	http_server m_server;
};
} // namespace larkrack
