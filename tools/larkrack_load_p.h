// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Load and experiments against running programs of `larkrackd`, which the users' bench does not play.
/// Owns: the load that is offered, the experiments' plans, the summary. Relies on: programs that
/// `scripts/places up` has started, and their pid files, logs and runs in one folder.
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
/// What the tool is told on its command line.
struct load_options
{
	std::string deployment_file;
	std::string policy_file;
	std::string dir;    ///< Where the running programs keep pids, logs and runs.
	std::string report; ///< Folder for the histories and the verdict.
	std::string experiment = "steady";
	std::uint64_t seed = 1;
	double seconds = 0.0; ///< 0: the experiment's own.
	double load = 0.0;    ///< Part of the capacity; 0: the experiment's own.
};

/// Something that is done at a moment of an experiment.
struct load_action
{
	double at_s = 0.0;
	std::function<void(const yield_context&)> run;
};

/// One experiment while it runs. One thread.
class load_bench
{
public:
	load_bench(asio::io_context& _context, const deployment& _deployment, const load_options& _options);

	/// Brings the system to a known state and waits until every slot may be used.
	/// @returns An error when it does not get there.
	std::optional<error> prepare(const yield_context& _yield);
	/// Offers load and carries out actions.
	void run(const std::vector<load_action>& _actions, double _seconds, const yield_context& _yield);

	/// Puts a resource's field, by an operator's way.
	/// @returns Status of HTTP; 0 when nobody answered.
	int operate(const std::string& _kind, const std::string& _name, const nlohmann::json& _fields,
	    const yield_context& _yield);
	/// Sets faults of the stand-ins.
	void fault_backends(const nlohmann::json& _faults, const yield_context& _yield);
	void fault_platform(const nlohmann::json& _faults, const yield_context& _yield);
	/// Sends a signal to the process of an entry VM.
	void signal_vm(const std::string& _vm, int _signal);
	/// Cuts entry VMs off from some others, and from the platform.
	void cut(const std::string& _vm, const std::vector<std::string>& _from, bool _platform,
	    const yield_context& _yield);
	/// @returns Status of the system as one entry VM sees it; null when nobody answers.
	nlohmann::json status(const yield_context& _yield);

	/// Load of each service as a part of its capacity. May be changed while it runs.
	double load = 0.8;
	/// Service time of interactive requests and of files.
	std::int64_t interactive_us = 150000;
	std::int64_t files_us = 300000;
	/// Part of non-repeatable requests.
	double payments = 0.3;
	/// Length of files, and speed at which callers read them (0: full).
	std::uint64_t file_bytes = 400000;
	std::uint64_t read_rate = 0;
	/// Part of downloads that are several MB long.
	double large_files = 0.05;
	std::uint64_t large_bytes = 3000000;
	/// Further tries of callers.
	int second_tries = 1;
	int deadline_ms = 5000;
	std::int64_t started_us = 0;
	std::int64_t shift_us = 0; ///< When a shift was ordered; 0: none was.

	const deployment& place() const
	{
		return m_deployment;
	}
	/// @returns Name of the service that is interactive, and of the one that serves files.
	std::string interactive() const;
	std::string files() const;
	history_writer& history()
	{
		return m_history;
	}

private:
	void offer(const std::string& _service, const yield_context& _yield);
	caller_operation draw(const std::string& _service);
	std::optional<http_response> to_operators(http::verb _verb, const std::string& _target,
	    const std::string& _body, const std::string& _if_match, const yield_context& _yield);
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

/// An experiment by name.
struct experiment
{
	std::string name;
	std::string what;
	double seconds = 10.0;
	double load = 0.8;
	/// Sets knobs of the bench and returns what is to be done when.
	std::function<std::vector<load_action>(load_bench&)> plan;
};

/// @returns All experiments.
const std::vector<experiment>& experiments();

/// Reads the histories of an experiment, judges them, and writes summary and violations.
/// @returns The summary, as its last line of output shows it.
nlohmann::json make_report(const load_bench& _bench, const load_options& _options);
} // namespace larkrack
