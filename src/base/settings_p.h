// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Settings of larkrackd, read from JSON and checked by schema; and addresses of the form IP:port.
///
/// Owns: the settings of this process, read once at its start.
/// Relies on: schema_settings for form and defaults. The settings of larkrack-edge share the schema check and
/// endpoint only: they have other fields and are read again while the process lives.
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

/// @returns The endpoint in "IP:port" or "[IP]:port", or an error.
result<endpoint> parse_endpoint(const std::string& _text);
/// @returns "IP:port".
std::string to_string(const endpoint& _endpoint);

/// Settings of one larkrackd; see the schema for their meaning.
struct settings
{
	std::string name; ///< Of this entry VM, as the configuration names it.
	std::string region;
	std::string domain;          ///< Failure domain.
	endpoint callers;            ///< Listens for callers.
	endpoint relay;              ///< Listens for requests of other entry VMs.
	endpoint peers;              ///< Listens for control messages of other entry VMs.
	endpoint operators;          ///< Listens for operators and scrapes.
	endpoint platform;           ///< The store.
	std::vector<endpoint> seeds; ///< Peers that are asked for a configuration when there is none.
	std::string secret;          ///< Shared by all entry VMs; signs grants, relays and handshakes.
	std::string operator_token;
	std::string chooser = "own_count"; ///< Rule of choice among owned backend servers.
	std::string log_file;              ///< Empty: standard output.
	std::string trace_file;            ///< Empty: no file.
	std::string trace_http;            ///< Collector; empty: none.
	double trace_share = 0.0;          ///< Part of requests without a trace that are traced, 0 to 1.
	std::size_t traffic_threads = 1;
	bool read_ahead = true;           ///< Read answers ahead of slow callers.
	bool trust_caller_header = false; ///< Take the caller's address from Larkrack-Caller.
	bool test_faults = false;         ///< Let tests cut links.
};

/// Checks and reads settings.
/// @returns Settings, or all mistakes.
std::variant<settings, std::vector<mistake>> parse_settings(const nlohmann::json& _document);
/// Reads a JSON file.
result<nlohmann::json> read_json_file(const std::string& _path);

/// Makes settings available to other services.
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
	/// @returns The settings; they do not change while the process lives.
	const settings& get() const
	{
		return m_settings;
	}

private:
	settings m_settings;
};
} // namespace larkrack
