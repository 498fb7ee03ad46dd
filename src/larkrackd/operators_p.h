// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The operators' listener: resource API, status, explanation, metrics. operators.cpp routes requests and
/// handles changes, operators_views.cpp renders what is only read.
///
/// Owns: the listener, and no other state.
/// Relies on: platform_sync for the configuration and its changes; control, gate, peers and key table for the
/// values shown. Reading needs no token; each change needs the operators' token.
#pragma once

#include "base/http_p.h"
#include "base/metrics_p.h"
#include "larkrackd/control_p.h"
#include "larkrackd/traffic_p.h"

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
	bool has_operator_token(const http_request& _request) const;
	http_response route(const http_request& _request, const yield_context& _yield);
	http_response list_resources(const std::string& _kind) const;
	http_response get_resource(const std::string& _kind, const std::string& _name) const;
	http_response change_resource(const http_request& _request, const std::string& _kind,
	    const std::string& _name, const yield_context& _yield);
	http_response apply(const http_request& _request, const yield_context& _yield);
	http_response write_response(const write_result& _result) const;
	http_response status() const;
	http_response explain(const std::string& _target) const;
	http_response scrape();
	http_response set_test_cut(const http_request& _request);
	void watch(http_session& _session, const yield_context& _yield);
	nlohmann::json status_json() const;
	nlohmann::json backends_json() const;
	nlohmann::json shifts_json(const policy& _rules) const;
	/// Adds the entry VMs and the slots that each one reports.
	void add_entry_vms(const policy& _rules, nlohmann::json& _answer) const;
	/// @returns The rules that led to a region, in the order in which they apply.
	static nlohmann::json explain_region(const traffic_view& _view, service_handle _service,
	    const asio::ip::address& _caller, region_handle _region);
	/// @returns Entry VMs of a region in the order of a look-up; empty without a region.
	static nlohmann::json explain_entry_vms(
	    const traffic_view& _view, service_handle _service, region_handle _region);
	nlohmann::json resource_json(const std::string& _key, const resource_value& _value) const;

	asio::io_context& m_context;
	const settings* m_settings = nullptr;
	clock_base* m_clock = nullptr;
	platform_sync* m_sync = nullptr;
	control* m_control = nullptr;
	gate* m_gate = nullptr;
	peers_base* m_peers = nullptr;
	metrics* m_metrics = nullptr;
	view_publisher* m_view_publisher = nullptr;
	key_table* m_keys = nullptr;
	bool m_stopping = false;
	std::unique_ptr<http_server> m_server;
};

/// @returns A response that describes an error: a code for programs and a message for people.
http_response error_response(http::status _status, const std::string& _code, const std::string& _message);
/// @returns The status page: one HTML document.
const char* status_page();
} // namespace larkrack
