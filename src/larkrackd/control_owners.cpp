// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Ownership of backend servers: the part of control that updates the owner records in the store and passes
/// the backend servers of this node to the gate.
#include "larkrackd/control_p.h"

#include "larkrackd/log_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
/// Checks of the owner records in two heartbeat intervals.
constexpr int k_owner_checks_per_two_intervals = 5;
} // namespace

std::string control::owner_key(domain_handle _domain, service_handle _service) const
{
	return "owner/" + rules()->at(_domain).name + "/" + rules()->at(_service).name;
}

std::vector<std::string> control::backends_of(domain_handle _domain, service_handle _service) const
{
	std::vector<std::string> names;
	for (const backend_spec& backend : rules()->backends)
	{
		if (backend.domain == _domain && backend.service == _service)
		{
			names.push_back(backend.name);
		}
	}
	return names;
}

std::set<std::string> control::owner_candidates(domain_handle _domain, steady_time _now) const
{
	const policy& now = *rules();
	const auto is_available = [&](const entry_vm_spec& _vm)
	{
		const member_entry* entry = m_members->entry_of(_vm.name);
		const bool leaving = _vm.name == m_settings->name ? m_leaving : (nullptr != entry && entry->leaving);
		const member_state state = m_members->state_of(_vm.name, _now);
		const bool answers = member_state::alive == state;
		return answers && !leaving && !_vm.drain && 0 == m_sync->gone().count(_vm.name);
	};
	std::set<std::string> candidates;
	std::set<std::string> region_neighbours;
	for (const entry_vm_spec& vm : now.entry_vms)
	{
		if (!is_available(vm))
		{
			continue;
		}
		if (vm.domain == _domain)
		{
			candidates.insert(vm.name);
		}
		else if (now.at(vm.domain).region == now.at(_domain).region)
		{
			region_neighbours.insert(vm.name);
		}
	}
	// Other entry VMs of the region own the backend servers of a failure domain only if it has no candidate
	// and none of its own entry VMs can come back: all are gone for good, drained or leaving.
	bool own_vm_may_return = false;
	for (const entry_vm_spec& vm : now.entry_vms)
	{
		const member_entry* entry = m_members->entry_of(vm.name);
		const bool leaving = vm.name == m_settings->name ? m_leaving : (nullptr != entry && entry->leaving);
		const bool away = 0 < m_sync->gone().count(vm.name) || vm.drain || leaving;
		own_vm_may_return = own_vm_may_return || (vm.domain == _domain && !away);
	}
	return candidates.empty() && !own_vm_may_return ? region_neighbours : candidates;
}

owner_facts control::gather_owner_facts(
    domain_handle _domain, service_handle _service, const std::set<std::string>& _candidates) const
{
	owner_facts facts;
	facts.self = m_settings->name;
	facts.life = m_incarnation;
	facts.self_leaving = m_leaving;
	facts.candidates = _candidates;
	facts.gone = m_sync->gone();
	facts.max_run_time = rules()->at(_service).run_limit + k_clock_skew;
	facts.now = m_clock->wall();
	for (const std::string& backend : backends_of(_domain, _service))
	{
		facts.running[backend] = m_gate->running(backend);
	}
	return facts;
}

void control::update_gate(steady_time _now)
{
	const policy& now = *rules();
	const wall_time wall = m_clock->wall();
	std::vector<backend_grant> grants;
	std::map<std::pair<std::uint16_t, std::uint16_t>,
	    std::pair<owner_record, std::map<std::string, std::string>>>
	    plans;
	std::map<std::uint16_t, std::set<std::string>> candidates;
	const domain_handle self_domain = now.find_domain(m_settings->domain);
	if (!is_valid(self_domain))
	{
		return;
	}
	for (const backend_spec& backend : now.backends)
	{
		if (now.at(backend.domain).region != now.at(self_domain).region)
		{
			continue;
		}
		const auto plan_key = std::make_pair(backend.domain.idx, backend.service.idx);
		if (0 == plans.count(plan_key))
		{
			if (0 == candidates.count(backend.domain.idx))
			{
				candidates[backend.domain.idx] = owner_candidates(backend.domain, _now);
			}
			const owner_facts facts =
			    gather_owner_facts(backend.domain, backend.service, candidates[backend.domain.idx]);
			auto& plan = plans[plan_key];
			plan.first =
			    owners_from_text(m_sync->records().value_of(owner_key(backend.domain, backend.service)));
			plan.second = plan_owners(now.at(backend.domain).name, now.at(backend.service).name,
			    backends_of(backend.domain, backend.service), facts.candidates,
			    now.at(backend.service).owners);
		}
		const auto& [record, wanted] = plans[plan_key];
		const auto entry = record.backends.find(backend.name);
		owner_facts self_facts;
		self_facts.self = m_settings->name;
		self_facts.life = m_incarnation;
		self_facts.self_leaving = m_leaving;
		const bool holds = record.backends.end() != entry && entry->second.vm == self_facts.self &&
		                   entry->second.life == m_incarnation;
		if (!holds)
		{
			continue;
		}
		backend_grant grant;
		grant.name = backend.name;
		grant.service = now.at(backend.service).name;
		grant.address = backend.address;
		grant.slots = backend.slots;
		grant.drain = backend.drain || now.at(backend.domain).drain ||
		              now.regions[now.at(backend.domain).region.idx].drain;
		grant.owned = !is_releasing(entry->second, backend.name, wanted, self_facts);
		grant.full_until = _now + (entry->second.full_until - wall);
		grants.push_back(grant);
	}
	const double max_share = now.regions[now.at(self_domain).region.idx].max_share;
	m_gate->update(grants, max_share, _now);
	for (const backend_grant& grant : grants)
	{
		const int running = m_gate->running(grant.name);
		const auto it = m_draining.find(grant.name);
		if (grant.drain && m_draining.end() == it)
		{
			log_event(event::drain_started, {{"backend", grant.name}, {"running", running}});
			m_draining[grant.name] = 1;
		}
		if (grant.drain && 1 == m_draining[grant.name] && 0 == running)
		{
			log_event(event::drain_ended, {{"backend", grant.name}});
			m_draining[grant.name] = 0;
		}
		if (!grant.drain)
		{
			m_draining.erase(grant.name);
		}
	}
}

void control::run_ownership(const yield_context& _yield)
{
	while (!m_stopping)
	{
		sleep_for(
		    m_context.get_executor(), m_members->interval() * 2 / k_owner_checks_per_two_intervals, _yield);
		const policy_ptr now = m_sync->configuration().current();
		const domain_handle self = now ? now->find_domain(m_settings->domain) : domain_handle{};
		for (std::size_t domain = 0; is_valid(self) && domain < now->domains.size(); ++domain)
		{
			if (now->domains[domain].region != now->at(self).region)
			{
				continue;
			}
			for (std::size_t service = 0;
			     service < now->services.size() && now == m_sync->configuration().current(); ++service)
			{
				update_owners(
				    {static_cast<std::uint16_t>(domain)}, {static_cast<std::uint16_t>(service)}, _yield);
			}
		}
	}
}

void control::update_owners(domain_handle _domain, service_handle _service, const yield_context& _yield)
{
	const policy& now = *rules();
	const std::vector<std::string> backends = backends_of(_domain, _service);
	if (backends.empty())
	{
		return;
	}
	const auto plan = [&, this](const std::string& _text) -> std::optional<owner_record>
	{
		const owner_facts facts =
		    gather_owner_facts(_domain, _service, owner_candidates(_domain, m_clock->steady()));
		const auto wanted = plan_owners(
		    now.at(_domain).name, now.at(_service).name, backends, facts.candidates, now.at(_service).owners);
		return next_owners(owners_from_text(_text), wanted, facts);
	};
	const std::string key = owner_key(_domain, _service);
	if (!plan(m_sync->records().value_of(key)))
	{
		return;
	}
	// Keeps the policy alive while the coroutine waits for the store.
	const policy_ptr held = m_sync->configuration().current();
	owner_record taken;
	const call_status status = m_sync->update_record(
	    "write_owner", key,
	    [&](const std::string& _old) -> std::optional<std::string>
	    {
		    const std::optional<owner_record> next = plan(_old);
		    if (!next)
		    {
			    return std::nullopt;
		    }
		    taken = *next;
		    return to_text(*next);
	    },
	    _yield);
	if (call_status::done == status)
	{
		log_event(event::owner_taken, {{"record", key}, {"sequence", taken.sequence}});
	}
	else if (call_status::not_done != status || !m_sync->is_platform_up())
	{
		sleep_for(m_context.get_executor(), k_initial_store_backoff, _yield);
	}
}

} // namespace larkrack
