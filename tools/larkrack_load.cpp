// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// larkrack-load: generates load and runs experiments against running larkrackd processes, fake backend
/// servers and a fake platform. This file has the flags, the soak experiment and the dispatch.

#include "larkrack_load_p.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <iostream>
#include <sys/stat.h>

ABSL_FLAG(std::string, deployment, "ondaraiz", "ondaraiz or verhaegen: a folder below --examples");
ABSL_FLAG(std::string, examples, "examples", "folder with deployments");
ABSL_FLAG(std::string, dir, "",
    "folder where the running programs keep pids, logs and runs; default run/DEPLOYMENT");
ABSL_FLAG(std::string, report, "", "folder for histories and verdict; default DIR/report");
ABSL_FLAG(std::uint64_t, seed, 1, "seed");
ABSL_FLAG(double, seconds, 0.0, "length; 0: the experiment's own");
ABSL_FLAG(double, load, 0.0, "load as a part of the capacity; 0: the experiment's own");
ABSL_FLAG(double, minutes, 1.0, "soak: length");

namespace
{
using namespace larkrack;

constexpr int k_exit_violation = 1;
constexpr int k_exit_usage = 2;
constexpr int k_exit_not_ready = 5;
constexpr int k_faults_per_round = 2;

const char* const k_usage =
    "Load and experiments.\n\n  larkrack-load experiment NAME   one experiment; the last line of "
    "output is its summary\n  larkrack-load soak              faults drawn from the seed, two at "
    "a time\n  larkrack-load list              the experiments\n\nExit codes: 0 no violation, 1 "
    "violations, 2 usage, 5 the system does not become ready.";

load_options options_from_flags(const std::string& _experiment)
{
	load_options options;
	const std::string folder = absl::GetFlag(FLAGS_examples) + "/" + absl::GetFlag(FLAGS_deployment);
	options.deployment_file = folder + "/deployment.json";
	options.policy_file = folder + "/policy.json";
	options.dir = absl::GetFlag(FLAGS_dir).empty() ? "run/" + absl::GetFlag(FLAGS_deployment)
	                                               : absl::GetFlag(FLAGS_dir);
	options.report =
	    absl::GetFlag(FLAGS_report).empty() ? options.dir + "/report" : absl::GetFlag(FLAGS_report);
	options.experiment = _experiment;
	options.seed = absl::GetFlag(FLAGS_seed);
	options.seconds = absl::GetFlag(FLAGS_seconds);
	options.load = absl::GetFlag(FLAGS_load);
	mkdir(options.report.c_str(), 0755);
	return options;
}

const experiment* find_experiment(const std::string& _name)
{
	for (const experiment& one : experiments())
	{
		if (one.name == _name)
		{
			return &one;
		}
	}
	return nullptr;
}

/// Soak experiment: repeatedly injects two simultaneous faults, chosen at random from the seed.
experiment make_soak(std::uint64_t _seed)
{
	experiment soak{"soak", "faults drawn from the seed", absl::GetFlag(FLAGS_minutes) * 60.0, 0.5, nullptr};
	soak.plan = [_seed, seconds = soak.seconds](load_bench& _bench)
	{
		const std::vector<std::string> names = {"crash_entry", "stop_entry", "shedding", "paused_holder",
		    "lost_answer", "platform_outage", "cut_domain", "old_platform", "config_storm", "shift",
		    "lying_load"};
		constexpr double k_round_s = 16.0;
		std::mt19937_64 random(_seed);
		std::vector<load_action> all;
		for (double at = 2.0; at + k_round_s < seconds; at += k_round_s)
		{
			for (int fault = 0; fault < k_faults_per_round; ++fault)
			{
				const experiment* drawn = find_experiment(names[random() % names.size()]);
				for (load_action action : drawn->plan(_bench))
				{
					action.at_s += at;
					all.push_back(action);
				}
			}
		}
		return all;
	};
	return soak;
}

int run_experiment(const experiment& _what)
{
	const load_options options = options_from_flags(_what.name);
	result<deployment> read = read_deployment(options.deployment_file);
	if (const error* failure = std::get_if<error>(&read))
	{
		std::cerr << failure->message << "\n";
		return k_exit_usage;
	}
	const deployment& deployed = std::get<deployment>(read);
	asio::io_context context(1);
	load_bench bench(context, deployed, options);
	std::optional<error> failure;
	start(context,
	    [&](const yield_context& _yield)
	    {
		    failure = bench.prepare(_yield);
		    if (failure)
		    {
			    context.stop();
			    return;
		    }
		    bench.load = 0.0 < options.load ? options.load : _what.load;
		    const std::vector<load_action> actions = _what.plan(bench);
		    bench.run(actions, 0.0 < options.seconds ? options.seconds : _what.seconds, _yield);
		    context.stop();
	    });
	context.run();
	if (failure)
	{
		std::cerr << failure->message << "\n";
		return k_exit_not_ready;
	}
	const nlohmann::json summary = make_report(bench, options);
	std::cout << summary.dump() << std::endl;
	return 0 == summary["violations"].get<std::size_t>() ? 0 : k_exit_violation;
}
} // namespace

int main(int _argc, char** _argv)
{
	absl::SetProgramUsageMessage(k_usage);
	absl::FlagsUsageConfig config;
	config.version_string = []
	{
		return std::string("larkrack-load " LARKRACK_VERSION "\n");
	};
	absl::SetFlagsUsageConfig(config);
	const std::vector<char*> rest = absl::ParseCommandLine(_argc, _argv);
	const std::string command = rest.size() < 2 ? "" : rest[1];
	if ("list" == command)
	{
		for (const experiment& one : experiments())
		{
			std::cout << one.name << ": " << one.what << "\n";
		}
		return 0;
	}
	if ("soak" == command)
	{
		return run_experiment(make_soak(absl::GetFlag(FLAGS_seed)));
	}
	const experiment* wanted =
	    "experiment" == command && 3 == rest.size() ? find_experiment(rest[2]) : nullptr;
	if (nullptr == wanted)
	{
		std::cerr << k_usage << "\n";
		return k_exit_usage;
	}
	return run_experiment(*wanted);
}
