// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// larkrack: command-line client for operators. This file has the flags, the usage text and the dispatch; the
/// commands, declared in larkrack_p.h, are in larkrack_changes.cpp, larkrack_documents.cpp and
/// larkrack_views.cpp. The flags are defined here because --help only shows those of the file with main().
#include "larkrack_p.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <algorithm>
#include <functional>
#include <iostream>

ABSL_FLAG(std::string, operators, "",
    "operators' addresses of entry VMs, IP:port, comma between; default $LARKRACK_OPERATORS");
ABSL_FLAG(std::string, token, "", "operators' token; default $LARKRACK_TOKEN");
ABSL_FLAG(std::string, f, "", "file, folder, or - for standard input");
ABSL_FLAG(std::string, o, "", "json: output for programs");
ABSL_FLAG(bool, dry_run, false, "check only, change nothing");
ABSL_FLAG(std::string, revision, "", "change only if the resource still has this revision");
ABSL_FLAG(int, seconds, 0, "watch: end after so many seconds; 0: never");

namespace
{
using namespace larkrack;

const char* const k_usage = R"(Command-line client of larkrack.

  larkrack apply -f FILE|FOLDER|-       put resources, all or none
  larkrack diff -f FILE|FOLDER|-        what apply would change
  larkrack get KIND [NAME]              resources ("all" for every kind)
  larkrack delete KIND NAME
  larkrack shift SERVICE REGION=SHARE...  declare the shares of a service
  larkrack drain KIND NAME              no new work (backend_server, domain, region, entry_vm)
  larkrack undrain KIND NAME
  larkrack status                       of the system, as one entry VM sees it
  larkrack watch                        shifts, live
  larkrack explain SERVICE CALLER_IP    where a caller would go now, and why
  larkrack check FILE                   settings or resources, offline

Exit codes: 0 done, 1 failed, 2 usage, 3 conflict, 4 invalid, 5 nobody answers, 6 unsure.)";

int usage()
{
	std::cerr << k_usage << "\n";
	return k_exit_usage;
}

using arguments = std::vector<std::string>;

/// Command that sends requests to an entry VM.
struct command
{
	const char* name;
	std::size_t min_arguments;
	std::size_t max_arguments;
	bool needs_file; ///< Whether -f is required.
	std::function<int(operators_client&, const arguments&)> run;
};

constexpr std::size_t k_unlimited_arguments = SIZE_MAX;

const std::vector<command>& commands()
{
	static const std::vector<command> s_commands = {
	    {"apply", 0, k_unlimited_arguments, true,
	        [](operators_client& _to, const arguments&)
	        {
		        return run_apply(_to);
	        }},
	    {"diff", 0, k_unlimited_arguments, true,
	        [](operators_client& _to, const arguments&)
	        {
		        return run_diff(_to);
	        }},
	    {"get", 1, 2, false, run_get},
	    {"delete", 2, 2, false, run_delete},
	    {"shift", 2, k_unlimited_arguments, false, run_shift},
	    {"drain", 2, 2, false,
	        [](operators_client& _to, const arguments& _given)
	        {
		        return run_drain(_to, _given, true);
	        }},
	    {"undrain", 2, 2, false,
	        [](operators_client& _to, const arguments& _given)
	        {
		        return run_drain(_to, _given, false);
	        }},
	    {"status", 0, 0, false,
	        [](operators_client& _to, const arguments&)
	        {
		        return run_status(_to);
	        }},
	    {"watch", 0, 0, false,
	        [](operators_client& _to, const arguments&)
	        {
		        return run_watch(_to);
	        }},
	    {"explain", 2, 2, false, run_explain},
	};
	return s_commands;
}

int dispatch(const std::string& _command, const arguments& _arguments)
{
	const std::size_t count = _arguments.size();
	if ("check" == _command)
	{
		return 1 == count ? run_check(_arguments[0]) : usage();
	}
	operators_client to;
	if (!to.has_endpoints())
	{
		std::cerr << "--operators, or $LARKRACK_OPERATORS, must name an entry VM\n";
		return k_exit_usage;
	}
	const bool has_file = !absl::GetFlag(FLAGS_f).empty();
	for (const command& one : commands())
	{
		const bool fits = one.min_arguments <= count && count <= one.max_arguments;
		if (one.name == _command && fits && (has_file || !one.needs_file))
		{
			return one.run(to, _arguments);
		}
	}
	return usage();
}
} // namespace

int main(int _argc, char** _argv)
{
	absl::SetProgramUsageMessage(k_usage);
	absl::FlagsUsageConfig config;
	config.version_string = []
	{
		return std::string("larkrack " LARKRACK_VERSION "\n");
	};
	absl::SetFlagsUsageConfig(config);
	const std::vector<char*> rest = absl::ParseCommandLine(_argc, _argv);
	if (rest.size() < 2)
	{
		return usage();
	}
	return dispatch(rest[1], std::vector<std::string>(rest.begin() + 2, rest.end()));
}
