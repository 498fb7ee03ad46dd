// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Settings of larkrackd, read from JSON and checked by schema.
#pragma once

#include "kernel_p.h"
#include "schema_p.h"

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
	std::string name;
	std::string region;
	std::string domain;
	endpoint callers;
	endpoint relay;
	endpoint peers;
	endpoint operators;
	endpoint platform;
	std::vector<endpoint> seeds;
	std::string secret;
	std::string operator_token;
	std::string chooser = "own_count";
	std::string log_file;
	std::string trace_file;
	std::string trace_http;
	double trace_share = 0.0;
	std::size_t traffic_threads = 1;
	bool read_ahead = true;
	bool trust_caller_header = false;
	bool test_faults = false;
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
