// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Bench of larkrack-load: prepares the system, generates load, and runs the actions of an experiment.

#include "larkrack_load_p.h"

#include <csignal>
#include <fstream>

namespace larkrack
{
namespace
{
constexpr std::chrono::milliseconds k_operator_timeout{8000};
constexpr std::chrono::milliseconds k_ready_poll{200};
constexpr int k_ready_polls = 300;
constexpr int k_max_operator_attempts = 6;
/// Number of callers of each region; each has its own cache of look-ups.
constexpr int k_callers = 120;
constexpr int k_files = 20;
/// Maximum number of operations in flight, the limit of the load tool itself; further operations are skipped.
constexpr int k_max_in_flight = 6000;

/// @returns Name of the service with the most, or the fewest, backend servers.
std::string service_by_size(const deployment& _deployment, bool _largest)
{
	const deployed_service* best = nullptr;
	for (const deployed_service& one : _deployment.services)
	{
		if (nullptr == best || _largest == (best->backends < one.backends))
		{
			best = &one;
		}
	}
	return best->name;
}
} // namespace

load_bench::load_bench(
    asio::io_context& _context, const deployment& _deployment, const load_options& _options)
    : m_context(_context), m_deployment(_deployment), m_options(_options),
      m_history(_options.report.empty() ? "" : _options.report + "/callers.jsonl"),
      m_callers(_context, _deployment, m_history, _options.seed * 7919 + 1),
      m_caller(_context.get_executor()), m_random(_options.seed)
{
}

std::string load_bench::interactive() const
{
	return service_by_size(m_deployment, true);
}

std::string load_bench::files() const
{
	return service_by_size(m_deployment, false);
}

std::optional<http_response> load_bench::call_operators(http::verb _verb, const std::string& _target,
    const std::string& _body, const std::string& _if_match, const yield_context& _yield)
{
	for (int attempt = 0; attempt < k_max_operator_attempts; ++attempt)
	{
		const deployed_vm& vm = m_deployment.entry_vms[m_random() % m_deployment.entry_vms.size()];
		http_request request = make_request(_verb, _target, vm.operators, _body);
		request.set("Authorization", "Bearer " + m_deployment.token);
		if (!_if_match.empty())
		{
			request.set("If-Match", _if_match);
		}
		result<http_response> called = m_caller.call(vm.operators, request, k_operator_timeout, _yield);
		if (http_response* response = value_of(called))
		{
			return *response;
		}
	}
	return std::nullopt;
}

nlohmann::json load_bench::status(const yield_context& _yield)
{
	const auto response = call_operators(http::verb::get, "/v1/status", "", "", _yield);
	return response ? nlohmann::json::parse(response->body(), nullptr, false) : nlohmann::json();
}

int load_bench::change_resource(const std::string& _kind, const std::string& _name,
    const nlohmann::json& _fields, const yield_context& _yield)
{
	const std::string target = "/v1/resources/" + _kind + "/" + _name;
	const auto read = call_operators(http::verb::get, target, "", "", _yield);
	if (!read || http::status::ok != read->result())
	{
		return 0;
	}
	const nlohmann::json resource = nlohmann::json::parse(read->body(), nullptr, false);
	nlohmann::json spec = resource.value("spec", nlohmann::json::object());
	spec.update(_fields);
	const std::string at = std::to_string(resource.value("revision", std::uint64_t{0}));
	const auto written = call_operators(
	    http::verb::put, target, nlohmann::json({{"spec", spec}}).dump(), "\"" + at + "\"", _yield);
	return written ? static_cast<int>(written->result_int()) : 0;
}

void load_bench::fault_backends(const nlohmann::json& _faults, const yield_context& _yield)
{
	const endpoint& where = m_deployment.backend_control;
	m_caller.call(where, make_request(http::verb::put, "/fake/faults", where, _faults.dump()),
	    k_operator_timeout, _yield);
}

void load_bench::fault_platform(const nlohmann::json& _faults, const yield_context& _yield)
{
	const endpoint& where = m_deployment.platform;
	m_caller.call(where, make_request(http::verb::put, "/fake/faults", where, _faults.dump()),
	    k_operator_timeout, _yield);
}

void load_bench::signal_vm(const std::string& _vm, int _signal)
{
	std::ifstream file(m_options.dir + "/" + _vm + ".pid");
	pid_t pid = 0;
	if (file >> pid && 1 < pid)
	{
		kill(pid, _signal);
	}
}

void load_bench::cut(const std::string& _vm, const std::vector<std::string>& _from, bool _platform,
    const yield_context& _yield)
{
	for (const deployed_vm& vm : m_deployment.entry_vms)
	{
		if (vm.name != _vm)
		{
			continue;
		}
		m_history.write({{"type", _from.empty() && !_platform ? "uncut" : "cut"}, {"vm", _vm},
		    {"t", to_us(m_clock.wall())}});
		const nlohmann::json body = {{"entry_vms", _from}, {"platform", _platform}};
		http_request request = make_request(http::verb::put, "/v1/test/cut", vm.operators, body.dump());
		request.set("Authorization", "Bearer " + m_deployment.token);
		m_caller.call(vm.operators, request, k_operator_timeout, _yield);
	}
}

bool load_bench::is_ready(const nlohmann::json& _status) const
{
	if (!_status.is_object() || _status["shifts"].empty())
	{
		return false;
	}
	for (const nlohmann::json& shift : _status["shifts"])
	{
		if ("done" != shift.value("state", "") || shift["shares"] != shift["goal"] ||
		    shift["in_force"] != shift["goal"])
		{
			return false;
		}
	}
	std::map<std::string, int> usable;
	for (const nlohmann::json& room : _status["rooms"])
	{
		usable[room.value("service", "")] += room.value("usable", 0);
	}
	for (const deployed_service& service : m_deployment.services)
	{
		if (usable[service.name] < service.backends * service.slots)
		{
			return false;
		}
	}
	return true;
}

std::optional<error> load_bench::prepare(const yield_context& _yield)
{
	fault_platform({{"outage", false}, {"slow_ms", 0}, {"lose_answers", 0}}, _yield);
	fault_backends({{"shed_share", 0.0}, {"slow", 1.0}, {"lie", -1.0}, {"cold_requests", 0}}, _yield);
	for (const deployed_vm& vm : m_deployment.entry_vms)
	{
		cut(vm.name, {}, false, _yield);
	}
	result<nlohmann::json> policy = read_json_file(m_options.policy_file);
	if (const error* failure = std::get_if<error>(&policy))
	{
		return *failure;
	}
	bool applied = false;
	for (int poll = 0; poll < k_ready_polls; ++poll)
	{
		if (!applied)
		{
			const auto answer = call_operators(
			    http::verb::post, "/v1/apply", std::get<nlohmann::json>(policy).dump(), "", _yield);
			applied = answer && http::status::ok == answer->result();
		}
		if (applied && is_ready(status(_yield)))
		{
			return std::nullopt;
		}
		sleep_for(m_context.get_executor(), k_ready_poll, _yield);
	}
	return error{"not_ready",
	    applied ? "not all slots are usable: " + status(_yield).dump() : "the policy was not accepted"};
}

caller_operation load_bench::draw_operation(const std::string& _service)
{
	caller_operation one;
	const std::size_t home = m_random() % m_deployment.regions.size();
	const int number = static_cast<int>(m_random() % k_callers);
	one.home = m_deployment.regions[home];
	one.caller = m_deployment.caller_prefix.at(one.home) + "." + std::to_string((number * 37) % 256) + "." +
	             std::to_string(number % 250 + 1);
	one.service = _service;
	one.retries = retries;
	one.deadline_ms = deadline_ms;
	const bool is_files = files() == _service;
	const double dice = std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
	one.work_us = is_files ? files_us : interactive_us;
	if (dice < payments)
	{
		one.kind = "payment";
		one.bytes = 300;
		one.priority = 7;
		one.object = "p" + std::to_string(++m_next_object) + "-" + std::to_string(m_options.seed);
		return one;
	}
	one.kind = is_files ? "download" : "page";
	const bool is_large = is_files && dice < payments + large_files;
	one.bytes = is_files ? (is_large ? large_bytes : file_bytes) : 4000;
	one.read_rate = is_files ? read_rate : 0;
	one.priority = is_files ? 3 : 5;
	one.object = is_files ? (is_large ? "image" : "file") + std::to_string(m_random() % k_files)
	                      : "o" + std::to_string(++m_next_object) + "-" + std::to_string(m_options.seed);
	return one;
}

void load_bench::generate_load(const std::string& _service, const yield_context& _yield)
{
	asio::steady_timer timer(m_context);
	auto next = std::chrono::steady_clock::now();
	boost::system::error_code ignored;
	while (m_running)
	{
		const double work_s = static_cast<double>(files() == _service ? files_us : interactive_us) / 1e6;
		const double rate = std::max(0.1, load * m_deployment.slots_of(_service) / work_s);
		const double gap_s = std::exponential_distribution<double>(rate)(m_random);
		next += std::chrono::nanoseconds(static_cast<std::int64_t>(gap_s * 1e9));
		timer.expires_at(next);
		timer.async_wait(_yield[ignored]);
		if (!m_running || k_max_in_flight < m_callers.in_flight())
		{
			continue;
		}
		start(m_context,
		    [this, one = draw_operation(_service)](const yield_context& _inner)
		    {
			    m_callers.run_operation(one, _inner);
		    });
	}
}

void load_bench::run(const std::vector<load_action>& _actions, double _seconds, const yield_context& _yield)
{
	started_us = to_us(m_clock.wall());
	m_running = true;
	for (const deployed_service& service : m_deployment.services)
	{
		start(m_context,
		    [this, name = service.name](const yield_context& _inner)
		    {
			    generate_load(name, _inner);
		    });
	}
	for (const load_action& action : _actions)
	{
		start(m_context,
		    [this, action](const yield_context& _inner)
		    {
			    sleep_for(m_context.get_executor(),
			        std::chrono::microseconds(static_cast<std::int64_t>(action.at_s * 1e6)), _inner);
			    action.run(_inner);
		    });
	}
	sleep_for(m_context.get_executor(), std::chrono::microseconds(static_cast<std::int64_t>(_seconds * 1e6)),
	    _yield);
	m_running = false;
	while (0 < m_callers.in_flight())
	{
		sleep_for(m_context.get_executor(), std::chrono::milliseconds(50), _yield);
	}
	// A request to the control port makes the fake backend servers flush their log of runs before they
	// respond.
	fault_backends({{"backend", "none"}}, _yield);
	m_history.flush();
}
} // namespace larkrack
