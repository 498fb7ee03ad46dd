// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Load generator and experiments against running larkrackd processes, which the users' bench does not cover.
/// Owns: the generated load, the plans of the experiments, and the summary.
/// Relies on: processes that `scripts/places up` has started, with their pid files, logs and runs in one
/// folder.
#pragma once

#include "base/http_p.h"
#include "testing/callers_p.h"
#include "testing/checker_p.h"
#include "testing/deployment_p.h"
#include "testing/history_p.h"

#include <functional>
#include <string>
#include <vector>

namespace larkrack
{
/// Command line options of larkrack-load.
struct load_options
{
	std::string deployment_file;
	std::string policy_file;
	std::string dir;    ///< Folder with pid files, logs and runs of the running programs.
	std::string report; ///< Folder for the history, the summary and the violations.
	std::string experiment = "steady";
	std::uint64_t seed = 1;
	double seconds = 0.0; ///< Duration; 0: default of the experiment.
	double load = 0.0;    ///< Fraction of the capacity; 0: default of the experiment.
};

/// Action at a point in time of an experiment.
struct load_action
{
	double at_s = 0.0; ///< Seconds since the start of the load.
	std::function<void(const yield_context&)> run;
};

/// Runs one experiment. Not thread-safe.
class load_bench
{
public:
	load_bench(asio::io_context& _context, const deployment& _deployment, const load_options& _options);

	/// Clears all faults, applies the policy, and waits until all shifts are done and every slot is usable.
	/// @returns An error when the system does not become ready in time.
	std::optional<error> prepare(const yield_context& _yield);
	/// Generates load and runs the actions, then waits for the last requests.
	void run(const std::vector<load_action>& _actions, double _seconds, const yield_context& _yield);

	/// Changes fields of a resource through the operators' API.
	/// @returns HTTP status of the write; 0 when the resource could not be read or no response arrived.
	int change_resource(const std::string& _kind, const std::string& _name, const nlohmann::json& _fields,
	    const yield_context& _yield);
	/// Sets faults of the fake backend servers and of the fake platform.
	void fault_backends(const nlohmann::json& _faults, const yield_context& _yield);
	void fault_platform(const nlohmann::json& _faults, const yield_context& _yield);
	/// Sends a signal to the process of an entry VM.
	void signal_vm(const std::string& _vm, int _signal);
	/// Partitions an entry VM from some others, and from the platform. With neither, ends the partition.
	void cut(const std::string& _vm, const std::vector<std::string>& _from, bool _platform,
	    const yield_context& _yield);
	/// @returns Status of the system as one entry VM reports it; null when no entry VM responds.
	nlohmann::json status(const yield_context& _yield);

	/// Load of each service as a fraction of its capacity. May be changed during the run.
	double load = 0.8;
	/// Service time of interactive requests and of downloads, in microseconds.
	std::int64_t interactive_us = 150000;
	std::int64_t files_us = 300000;
	/// Fraction of non-repeatable requests.
	double payments = 0.3;
	/// Size of files in bytes, and read rate of callers in bytes per second (0: unlimited).
	std::uint64_t file_bytes = 400000;
	std::uint64_t read_rate = 0;
	/// Fraction of downloads with large_bytes instead of file_bytes.
	double large_files = 0.05;
	std::uint64_t large_bytes = 3000000;
	/// Maximum number of retries of a caller after an unknown outcome.
	int retries = 1;
	int deadline_ms = 5000;
	std::int64_t started_us = 0;
	std::int64_t shift_us = 0; ///< Time at which a shift was ordered; 0: none was.

	const deployment& deployed() const
	{
		return m_deployment;
	}
	/// @returns Name of the interactive service, which has the most backend servers, and of the service for
	/// downloads, which has the fewest.
	std::string interactive() const;
	std::string files() const;
	history_writer& history()
	{
		return m_history;
	}

private:
	/// Starts operations of a service at random intervals until the run ends.
	void generate_load(const std::string& _service, const yield_context& _yield);
	/// @returns A random operation.
	caller_operation draw_operation(const std::string& _service);
	/// Sends a request to random entry VMs until one responds.
	std::optional<http_response> call_operators(http::verb _verb, const std::string& _target,
	    const std::string& _body, const std::string& _if_match, const yield_context& _yield);
	/// @returns Whether all shifts are done and every slot is usable.
	bool is_ready(const nlohmann::json& _status) const;

	asio::io_context& m_context;
	const deployment& m_deployment;
	const load_options& m_options;
	history_writer m_history;
	callers m_callers;
	http_caller m_caller;
	clock_system m_clock;
	std::mt19937_64 m_random;
	std::uint64_t m_next_object = 0;
	bool m_running = false;
};

/// Named experiment.
struct experiment
{
	std::string name;
	std::string what;      ///< Description.
	double seconds = 10.0; ///< Default duration.
	double load = 0.8;     ///< Default load, as a fraction of the capacity.
	/// Sets parameters of the bench and returns the actions of the experiment.
	std::function<std::vector<load_action>(load_bench&)> plan;
};

/// @returns All experiments.
const std::vector<experiment>& experiments();

/// Checks the histories of an experiment, and writes summary.json and violations.txt.
/// @returns The summary, which larkrack-load prints as its last line of output.
nlohmann::json make_report(const load_bench& _bench, const load_options& _options);
} // namespace larkrack
