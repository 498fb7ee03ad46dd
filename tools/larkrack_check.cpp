// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// larkrack-check: checks the guarantees of the system against histories of callers, backend servers and
/// nodes.

#include "testing/checker_p.h"
#include "testing/history_p.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <iostream>

ABSL_FLAG(std::string, deployment, "", "deployment file that the histories belong to");
ABSL_FLAG(double, cap, 0.1, "cap of shifts");
ABSL_FLAG(double, window_s, 5.0, "window of the cap, seconds");
ABSL_FLAG(int, show, 20, "violations that are printed");

namespace
{
constexpr int k_exit_violation = 1;
constexpr int k_exit_usage = 2;
} // namespace

int main(int _argc, char** _argv)
{
	absl::SetProgramUsageMessage("Judges histories: larkrack-check --deployment FILE HISTORY...\nEnds with 0 "
	                             "when every promise was kept, 1 when "
	                             "one was broken, 2 for wrong flags.");
	absl::FlagsUsageConfig config;
	config.version_string = []
	{
		return std::string("larkrack-check " LARKRACK_VERSION "\n");
	};
	absl::SetFlagsUsageConfig(config);
	const std::vector<char*> files = absl::ParseCommandLine(_argc, _argv);
	larkrack::result<larkrack::deployment> read = larkrack::read_deployment(absl::GetFlag(FLAGS_deployment));
	if (const auto* failure = std::get_if<larkrack::error>(&read))
	{
		std::cerr << "--deployment: " << failure->message << "\n";
		return k_exit_usage;
	}
	std::vector<nlohmann::json> lines;
	for (std::size_t at = 1; at < files.size(); ++at)
	{
		const std::vector<nlohmann::json> more = larkrack::read_history(files[at]);
		lines.insert(lines.end(), more.begin(), more.end());
	}
	const auto& deployed = std::get<larkrack::deployment>(read);
	const larkrack::check_report report = larkrack::check_history(
	    lines, larkrack::rules_for(deployed, absl::GetFlag(FLAGS_cap), absl::GetFlag(FLAGS_window_s)));
	std::cout << "tries " << report.tries << ", served " << report.served << ", not run " << report.not_run
	          << ", unknown " << report.unknown << ", runs " << report.runs << ", largest gain/cap "
	          << report.max_gain_over_cap << ", violations " << report.violations.size() << "\n";
	const auto shown = static_cast<std::size_t>(absl::GetFlag(FLAGS_show));
	for (std::size_t at = 0; at < report.violations.size() && at < shown; ++at)
	{
		std::cout << "  " << report.violations[at].guarantee << ": " << report.violations[at].what << "\n";
	}
	return report.violations.empty() ? 0 : k_exit_violation;
}
