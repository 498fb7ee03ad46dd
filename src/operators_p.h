// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The operators' listener: resource API, status, explanation, metrics.
#pragma once

#include "control_p.h"
#include "http_p.h"
#include "metrics_p.h"
#include "traffic_p.h"

namespace larkrack
{
/// Control thread only.
class operators : public service_base
{
public:
	explicit operators(asio::io_context& _context);
	const char* name() const override
	{
		return "operators";
	}
	std::optional<error> init(kernel& _kernel) override;
	void shutdown() override;

private:
	void handle(http_session& _session, http_request& _request, const yield_context& _yield);
	bool is_allowed(const http_request& _request) const;
	http_response route(const http_request& _request, const yield_context& _yield);
	http_response list(const std::string& _kind) const;
	http_response get(const std::string& _kind, const std::string& _name) const;
	http_response change(const http_request& _request, const std::string& _kind, const std::string& _name,
	    const yield_context& _yield);
	http_response apply(const http_request& _request, const yield_context& _yield);
	http_response answer_write(const write_result& _result) const;
	http_response status() const;
	http_response explain(const std::string& _target) const;
	http_response scrape();
	http_response cut(const http_request& _request);
	void watch(http_session& _session, const yield_context& _yield);
	nlohmann::json status_json() const;
	nlohmann::json resource_json(const std::string& _key, const resource_value& _value) const;

	asio::io_context& m_context;
	const settings* m_settings = nullptr;
	clock_base* m_clock = nullptr;
	platform_sync* m_sync = nullptr;
	control* m_control = nullptr;
	gate* m_gate = nullptr;
	peers_base* m_peers = nullptr;
	metrics* m_metrics = nullptr;
	view_publisher* m_board = nullptr;
	key_table* m_keys = nullptr;
	bool m_stopping = false;
	std::unique_ptr<http_server> m_server;
};

/// @returns The status page: one HTML file.
const char* status_page();
} // namespace larkrack
