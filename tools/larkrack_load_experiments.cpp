// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Experiments of larkrack-load: load and injected faults of each one. Each experiment is a test of larkrackd
/// as a whole; docs/MEASUREMENTS.md documents the failure that each one found, and where removed experiments
/// went.

#include "larkrack_load_p.h"

#include <cmath>
#include <csignal>

namespace larkrack
{
namespace
{
using plan = std::vector<load_action>;

std::int64_t now_us()
{
	return to_us(clock_system().wall());
}

/// @returns The first entry VM of a region, or of the deployment when no region is given.
const deployed_vm& vm_of(const load_bench& _bench, const std::string& _region = "")
{
	for (const deployed_vm& vm : _bench.deployed().entry_vms)
	{
		if (_region.empty() || vm.region == _region)
		{
			return vm;
		}
	}
	return _bench.deployed().entry_vms.front();
}

/// @returns Names of all entry VMs outside a failure domain.
std::vector<std::string> vms_outside(const load_bench& _bench, const std::string& _domain)
{
	std::vector<std::string> names;
	for (const deployed_vm& vm : _bench.deployed().entry_vms)
	{
		if (vm.domain != _domain)
		{
			names.push_back(vm.name);
		}
	}
	return names;
}

/// @returns Shares in which the first region gets a given share, and the others get equal parts of the rest.
nlohmann::json shares_with_first(const load_bench& _bench, double _first)
{
	const std::vector<std::string>& regions = _bench.deployed().regions;
	nlohmann::json shares = nlohmann::json::object();
	const double rest = (1.0 - _first) / static_cast<double>(regions.size() - 1);
	double sum = 0.0;
	for (std::size_t at = regions.size(); 1 < at; --at)
	{
		shares[regions[at - 1]] = rest;
		sum += rest;
	}
	shares[regions[0]] = 1.0 - sum;
	return {{"shares", shares}};
}

plan plan_nothing(load_bench&)
{
	return {};
}

plan plan_shift(load_bench& _bench)
{
	return {{3.0, [&_bench](const yield_context& _yield)
	    {
		    _bench.shift_us = now_us();
		    _bench.change_resource("steering", _bench.interactive(), shares_with_first(_bench, 0.5), _yield);
	    }}};
}

void drain_backend(load_bench& _bench, const yield_context& _yield)
{
	const std::string backend = _bench.files() + "-01";
	_bench.history().write({{"type", "drain"}, {"backend", backend}, {"t", now_us()}});
	_bench.change_resource("backend_server", backend, {{"drain", true}}, _yield);
}

plan plan_drain_backend(load_bench& _bench)
{
	_bench.read_rate = 50000;
	_bench.file_bytes = 150000;
	_bench.large_files = 0.1;
	_bench.large_bytes = 400000;
	return {{3.0, [&_bench](const yield_context& _yield)
	    {
		    drain_backend(_bench, _yield);
	    }}};
}

plan plan_drain_domain(load_bench& _bench)
{
	return {{3.0, [&_bench](const yield_context& _yield)
	    {
		    const std::string domain = vm_of(_bench).domain;
		    const std::int64_t at = now_us();
		    for (const auto& [backend, its_domain] : _bench.deployed().domain_of_backend)
		    {
			    if (its_domain == domain)
			    {
				    _bench.history().write({{"type", "drain"}, {"backend", backend}, {"t", at}});
			    }
		    }
		    _bench.change_resource("domain", domain, {{"drain", true}}, _yield);
	    }}};
}

plan signal_plan(load_bench& _bench, double _at_s, const std::string& _vm, int _signal)
{
	return {{_at_s, [&_bench, _vm, _signal](const yield_context&)
	    {
		    _bench.signal_vm(_vm, _signal);
	    }}};
}

plan plan_stop_entry(load_bench& _bench)
{
	return signal_plan(_bench, 3.0, vm_of(_bench).name, SIGTERM);
}

plan plan_crash_entry(load_bench& _bench)
{
	return signal_plan(_bench, 3.0, vm_of(_bench).name, SIGKILL);
}

plan plan_crash_region(load_bench& _bench)
{
	plan all;
	for (const deployed_vm& vm : _bench.deployed().entry_vms)
	{
		if (vm.region == vm_of(_bench).region)
		{
			const plan one = signal_plan(_bench, 3.0, vm.name, SIGKILL);
			all.insert(all.end(), one.begin(), one.end());
		}
	}
	return all;
}

/// Sets faults at one time and clears them at another.
plan backend_fault_plan(load_bench& _bench, const nlohmann::json& _faults, double _from_s, double _to_s,
    const nlohmann::json& _undo)
{
	return {{_from_s,
	            [&_bench, _faults](const yield_context& _yield)
	            {
		            _bench.fault_backends(_faults, _yield);
	            }},
	    {_to_s, [&_bench, _undo](const yield_context& _yield)
	        {
		        _bench.fault_backends(_undo, _yield);
	        }}};
}

plan plan_cold(load_bench& _bench)
{
	plan all = backend_fault_plan(_bench, {{"backend", _bench.interactive() + "-0*"}, {"cold_requests", 20}},
	    2.0, 20.0, {{"cold_requests", 0}});
	const plan shift = plan_shift(_bench);
	all.insert(all.end(), shift.begin(), shift.end());
	return all;
}

plan plan_lying_load(load_bench& _bench)
{
	return backend_fault_plan(
	    _bench, {{"backend", _bench.interactive() + "-0*"}, {"lie", 0.0}}, 1.0, 8.0, {{"lie", -1.0}});
}

plan plan_shedding(load_bench& _bench)
{
	return backend_fault_plan(_bench, {{"backend", _bench.interactive() + "-0*"}, {"shed_share", 0.5}}, 2.0,
	    6.0, {{"shed_share", 0.0}});
}

plan plan_retry_storm(load_bench& _bench)
{
	_bench.retries = 4;
	_bench.deadline_ms = 600;
	return backend_fault_plan(_bench, {{"slow", 4.0}}, 2.0, 5.0, {{"slow", 1.0}});
}

/// Operators change the same resource at the same time.
plan racing_operators(load_bench& _bench)
{
	plan all;
	for (int round = 0; round < 30; ++round)
	{
		all.push_back({1.0 + 0.2 * std::floor(round / 3.0), [&_bench, round](const yield_context& _yield)
		    {
			    _bench.change_resource("steering", _bench.interactive(),
			        shares_with_first(_bench, 0.34 + 0.02 * (round % 3)), _yield);
		    }});
	}
	return all;
}

plan plan_paused_holder(load_bench& _bench)
{
	plan all = signal_plan(_bench, 3.0, vm_of(_bench).name, SIGSTOP);
	all.push_back({7.0, [&_bench](const yield_context&)
	    {
		    _bench.signal_vm(vm_of(_bench).name, SIGCONT);
	    }});
	return all;
}

plan plan_lost_answer(load_bench& _bench)
{
	plan all = racing_operators(_bench);
	for (int round = 0; round < 8; ++round)
	{
		all.push_back({1.0 + 0.5 * round, [&_bench](const yield_context& _yield)
		    {
			    _bench.fault_platform({{"lose_answers", 2}}, _yield);
		    }});
	}
	return all;
}

plan plan_platform_outage(load_bench& _bench)
{
	plan all;
	all.push_back({2.0, [&_bench](const yield_context& _yield)
	    {
		    _bench.fault_platform({{"outage", true}}, _yield);
	    }});
	all.push_back({10.0, [&_bench](const yield_context& _yield)
	    {
		    _bench.fault_platform({{"outage", false}}, _yield);
	    }});
	return all;
}

plan plan_platform_slow(load_bench& _bench)
{
	plan all;
	all.push_back({1.0, [&_bench](const yield_context& _yield)
	    {
		    _bench.fault_platform({{"slow_ms", 800}}, _yield);
	    }});
	const plan shift = plan_shift(_bench);
	all.insert(all.end(), shift.begin(), shift.end());
	return all;
}

void cut_domain(load_bench& _bench, const std::string& _domain, bool _cut, const yield_context& _yield)
{
	const std::vector<std::string> outside = vms_outside(_bench, _domain);
	for (const deployed_vm& vm : _bench.deployed().entry_vms)
	{
		if (vm.domain == _domain)
		{
			_bench.cut(vm.name, _cut ? outside : std::vector<std::string>(), _cut, _yield);
		}
	}
}

plan plan_cut_domain(load_bench& _bench)
{
	const std::string domain = vm_of(_bench).domain;
	return {{2.0,
	            [&_bench, domain](const yield_context& _yield)
	            {
		            cut_domain(_bench, domain, true, _yield);
	            }},
	    {8.0, [&_bench, domain](const yield_context& _yield)
	        {
		        cut_domain(_bench, domain, false, _yield);
	        }}};
}

plan plan_config_storm(load_bench& _bench)
{
	plan all;
	for (int round = 0; round < 67; ++round)
	{
		all.push_back({1.0 + 0.1 * round, [&_bench, round](const yield_context& _yield)
		    {
			    _bench.change_resource("region",
			        _bench.deployed().regions[static_cast<std::size_t>(round) % 3],
			        {{"max_share", 1.0 - 0.0001 * (round % 10)}}, _yield);
		    }});
	}
	return all;
}

plan plan_old_platform(load_bench& _bench)
{
	plan all;
	all.push_back({1.0, [&_bench](const yield_context& _yield)
	    {
		    _bench.fault_platform({{"save", true}}, _yield);
	    }});
	all.push_back({2.0, [&_bench](const yield_context& _yield)
	    {
		    _bench.change_resource("region", _bench.deployed().regions[0], {{"max_share", 0.99}}, _yield);
	    }});
	all.push_back({4.0, [&_bench](const yield_context& _yield)
	    {
		    _bench.fault_platform({{"restore", true}}, _yield);
	    }});
	all.push_back({6.0, [&_bench](const yield_context& _yield)
	    {
		    _bench.change_resource("region", _bench.deployed().regions[0], {{"max_share", 1.0}}, _yield);
	    }});
	return all;
}

plan plan_join_in_outage(load_bench& _bench)
{
	plan all = plan_platform_outage(_bench);
	all.push_back({4.0, [&_bench](const yield_context&)
	    {
		    _bench.signal_vm(vm_of(_bench).name, SIGKILL);
	    }});
	return all;
}
} // namespace

const std::vector<experiment>& experiments()
{
	static const std::vector<experiment> s_all = {
	    {"steady", "load at 80% of the capacity", 10.0, 0.8, plan_nothing},
	    {"shift", "an operator moves a region's share up to half", 20.0, 0.5, plan_shift},
	    {"drain_backend", "a backend server drains while callers read at 50 KB/s", 10.0, 0.6,
	        plan_drain_backend},
	    {"drain_domain", "a failure domain drains", 10.0, 0.4, plan_drain_domain},
	    {"stop_entry", "planned stop of an entry VM", 12.0, 0.6, plan_stop_entry},
	    {"crash_entry", "an entry VM's process is killed and started again", 12.0, 0.6, plan_crash_entry},
	    {"crash_region", "all entry VMs of a region are killed and started again", 14.0, 0.5,
	        plan_crash_region},
	    {"cold", "a shift to cold backend servers", 20.0, 0.4, plan_cold},
	    {"lying_load", "some backend servers report no load", 10.0, 0.8, plan_lying_load},
	    {"shedding", "some backend servers shed half of their requests", 10.0, 0.6, plan_shedding},
	    {"retry_storm", "backend servers slow down and callers try again", 10.0, 0.7, plan_retry_storm},
	    {"paused_holder", "an owner of backend servers stands still for 4 s", 12.0, 0.5, plan_paused_holder},
	    {"lost_answer", "answers to writes are lost", 10.0, 0.5, plan_lost_answer},
	    {"platform_outage", "the platform is away for 8 s", 14.0, 0.6, plan_platform_outage},
	    {"platform_slow", "the platform takes 0.8 s for each answer, while a shift runs", 20.0, 0.5,
	        plan_platform_slow},
	    {"cut_domain", "a failure domain is cut off from all others and the platform", 12.0, 0.6,
	        plan_cut_domain},
	    {"config_storm", "67 changes of the configuration in 7 s", 10.0, 0.4, plan_config_storm},
	    {"old_platform", "the platform comes back with older data", 10.0, 0.5, plan_old_platform},
	    {"join_in_outage", "an entry VM starts again while the platform is away", 16.0, 0.5,
	        plan_join_in_outage},
	};
	return s_all;
}
} // namespace larkrack
