// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Settings of larkrackd, read from a JSON file and validated by a schema; and addresses of the form IP:port.
///
/// Owns: the settings of this process, which are read once at startup.
/// Relies on: schema_settings() for validation. larkrack-edge shares only the schema validation and
/// `endpoint`: its settings have different fields and are reloaded while the process runs.
#pragma once

#include "base/kernel_p.h"
#include "base/schema_p.h"

#include <cstdint>
#include <string>
#include <vector>

namespace larkrack
{
/// An IP address and a port.
struct endpoint
{
	std::string host;
	std::uint16_t port = 0;
};

/// Parses "IP:port" or "[IP]:port".
result<endpoint> parse_endpoint(const std::string& _text);
/// @returns "IP:port", or "[IP]:port" for an IPv6 address.
std::string to_string(const endpoint& _endpoint);

/// Settings of one larkrackd process; schema_tables.cpp describes each field.
struct settings
{
	std::string name; ///< Name of this entry VM in the configuration.
	std::string region;
	std::string domain;          ///< Failure domain.
	endpoint callers;            ///< Listening address for callers.
	endpoint relay;              ///< Listening address for requests relayed by other entry VMs.
	endpoint peers;              ///< Listening address for control messages of other entry VMs.
	endpoint operators;          ///< Listening address for operators and metrics scrapes.
	endpoint platform;           ///< Address of the key-value store.
	std::vector<endpoint> seeds; ///< Peers to fetch a configuration from when the platform does not respond.
	std::string secret;          ///< Shared by all entry VMs; signs grants, relays and handshakes.
	std::string operator_token;
	std::string chooser = "own_count"; ///< Load-balancing rule among owned backend servers.
	std::string log_file;              ///< Empty: standard output.
	std::string trace_file;            ///< Empty: no file.
	std::string trace_http;            ///< Address of an OTLP/HTTP collector; empty: none.
	double trace_share = 0.0; ///< Fraction of requests without a traceparent header that are traced, 0 to 1.
	std::size_t traffic_threads = 1;
	bool read_ahead = true;           ///< Read responses ahead of slow callers.
	bool trust_caller_header = false; ///< Take the caller's address from header Larkrack-Caller.
	bool test_faults = false;         ///< Allow tests to partition the node from peers.
};

/// Validates a settings document.
/// @returns The settings, or all mistakes of the document.
std::variant<settings, std::vector<mistake>> parse_settings(const nlohmann::json& _document);
/// Reads a JSON file.
result<nlohmann::json> read_json_file(const std::string& _path);

/// Service that provides the settings to other services.
class settings_service : public service_base
{
public:
	explicit settings_service(settings _settings) : m_settings(std::move(_settings))
	{
	}
	const char* name() const override
	{
		return "settings";
	}
	/// @returns The settings, which do not change while the process runs.
	const settings& get() const
	{
		return m_settings;
	}

private:
	settings m_settings;
};
} // namespace larkrack
