// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// larkrackd: daemon of an entry VM, which serves look-ups, forwards requests to backend servers, steers
/// traffic, and serves operators. This file parses flags and settings and runs a node.

#include "larkrackd/node_p.h"

#include "larkrackd/log_p.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <iostream>

ABSL_FLAG(std::string, settings, "", "file with the settings, JSON; see docs/SETTINGS.md");

namespace
{
constexpr int k_exit_usage = 2;
} // namespace

int main(int _argc, char** _argv)
{
	absl::SetProgramUsageMessage(
	    "Daemon of an entry VM. Ends with 0 after a planned stop (SIGTERM, SIGINT), 1 when it "
	    "can not start, 2 for wrong flags or settings.");
	absl::FlagsUsageConfig config;
	config.version_string = []
	{
		return std::string("larkrackd " LARKRACK_VERSION "\n");
	};
	absl::SetFlagsUsageConfig(config);
	absl::ParseCommandLine(_argc, _argv);
	larkrack::result<nlohmann::json> file = larkrack::read_json_file(absl::GetFlag(FLAGS_settings));
	if (const auto* failure = std::get_if<larkrack::error>(&file))
	{
		std::cerr << "--settings: " << failure->message << "\n";
		return k_exit_usage;
	}
	auto parsed = larkrack::parse_settings(std::get<nlohmann::json>(file));
	if (const auto* mistakes = std::get_if<std::vector<larkrack::mistake>>(&parsed))
	{
		std::cerr << larkrack::to_string(*mistakes);
		return k_exit_usage;
	}
	const auto& settings = std::get<larkrack::settings>(parsed);
	larkrack::log_init(settings.name, settings.log_file);
	larkrack::node node(settings);
	return node.run();
}
