// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// larkrack-fake-backend: many fake backend servers in one process. Faults are set at run time over HTTP.

#include "base/settings_p.h"
#include "testing/fake_backend_p.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <iostream>
#include <memory>

ABSL_FLAG(std::string, config, "",
    "JSON file: {\"control\": IP:port, \"backends\": [{name, address, slots, connections}]}");
ABSL_FLAG(std::string, runs, "", "file for the log of runs");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of random faults");

namespace
{
using namespace larkrack;

constexpr std::chrono::milliseconds k_flush_interval{50};

/// Serves "/fake/faults" and "/fake/counts" for all backend servers of the process. Faults apply to the
/// server that the field "backend" names, to those with a prefix ("name*"), or without the field to all of
/// them.
void handle_control(std::vector<std::unique_ptr<fake_backend>>& _backends, history_writer& _runs,
    http_session& _session, const http_request& _request, const yield_context& _yield)
{
	const nlohmann::json body = nlohmann::json::parse(_request.body(), nullptr, false);
	nlohmann::json counts = nlohmann::json::array();
	for (const auto& backend : _backends)
	{
		const std::string wanted = body.is_object() ? body.value("backend", "*") : "";
		if ("*" == wanted || backend->name() == wanted ||
		    (!wanted.empty() && '*' == wanted.back() &&
		        0 == backend->name().rfind(wanted.substr(0, wanted.size() - 1), 0)))
		{
			backend->set_faults(body);
		}
		counts.push_back(backend->counts());
	}
	_runs.flush();
	http_response response = make_json(http::status::ok, counts.dump());
	_session.send(response, _yield);
}

void flush_periodically(asio::io_context& _context, history_writer& _runs, const yield_context& _yield)
{
	while (true)
	{
		sleep_for(_context.get_executor(), k_flush_interval, _yield);
		_runs.flush();
	}
}

int run(const nlohmann::json& _config)
{
	asio::io_context context(1);
	history_writer runs(absl::GetFlag(FLAGS_runs));
	std::vector<std::unique_ptr<fake_backend>> backends;
	std::uint64_t seed = absl::GetFlag(FLAGS_seed);
	for (const nlohmann::json& one : _config.at("backends"))
	{
		fake_backend_options options;
		options.name = one.at("name");
		options.address = std::get<endpoint>(parse_endpoint(one.at("address")));
		options.slots = one.at("slots");
		options.connections = one.value("connections", options.connections);
		backends.push_back(std::make_unique<fake_backend>(context, options, runs, ++seed));
		if (const auto failure = backends.back()->init())
		{
			std::cerr << failure->message << "\n";
			return 1;
		}
	}
	http_server control(context,
	    [&](http_session& _session, http_request& _request, const yield_context& _yield)
	    {
		    handle_control(backends, runs, _session, _request, _yield);
	    });
	if (const auto failure = control.listen(std::get<endpoint>(parse_endpoint(_config.at("control")))))
	{
		std::cerr << failure->message << "\n";
		return 1;
	}
	start(context,
	    [&](const yield_context& _yield)
	    {
		    flush_periodically(context, runs, _yield);
	    });
	asio::signal_set signals(context, SIGINT, SIGTERM);
	signals.async_wait(
	    [&](const boost::system::error_code&, int)
	    {
		    context.stop();
	    });
	context.run();
	runs.flush();
	return 0;
}
} // namespace

int main(int _argc, char** _argv)
{
	absl::SetProgramUsageMessage("Fake backend servers.");
	absl::FlagsUsageConfig config;
	config.version_string = []
	{
		return std::string("larkrack-fake-backend " LARKRACK_VERSION "\n");
	};
	absl::SetFlagsUsageConfig(config);
	absl::ParseCommandLine(_argc, _argv);
	larkrack::result<nlohmann::json> file = larkrack::read_json_file(absl::GetFlag(FLAGS_config));
	if (const auto* failure = std::get_if<larkrack::error>(&file))
	{
		std::cerr << "--config: " << failure->message << "\n";
		return 2;
	}
	return run(std::get<nlohmann::json>(file));
}
