// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/lookup_p.h"

#include "larkrack/config.h"

#include "larkrackd/hash_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
/// Maximum number of entry VMs in one answer. More helps a caller when several entry VMs are unreachable, and
/// makes answers longer.
constexpr std::size_t k_max_choices = 4;
/// Weights in an answer are rounded to multiples of 1 / k_weight_steps, to keep answers short.
constexpr double k_weight_steps = 1000.0;

/// @returns Whether look-ups may list the entry VM.
bool is_listable(const traffic_view& _view, std::size_t _vm)
{
	const peer_view& peer = _view.peers[_vm];
	const policy& rules = *_view.rules;
	const entry_vm_spec& vm = rules.entry_vms[_vm];
	return peer.alive && !peer.leaving && !rules.at(vm.domain).drain;
}
} // namespace

double caller_hash_point(const boost::asio::ip::address& _caller, const std::string& _service)
{
	const wide_address wide = to_wide_address(_caller);
	const std::string_view bytes(reinterpret_cast<const char*>(&wide), sizeof(wide));
	return point_of_hash(hash64(bytes, hash64(_service)));
}

region_handle region_for(
    const traffic_view& _view, service_handle _service, const boost::asio::ip::address& _caller)
{
	const service_view& service = _view.services[_service.idx];
	return service.plan.choose(
	    _view.rules->home_of(_caller), caller_hash_point(_caller, _view.rules->at(_service).name));
}

std::vector<lookup_choice> order_entry_vms(
    const traffic_view& _view, service_handle _service, region_handle _region, double _draw)
{
	std::vector<lookup_choice> near;
	std::vector<lookup_choice> far;
	double sum = 0.0;
	for (std::size_t at = 0; at < _view.peers.size(); ++at)
	{
		if (!is_listable(_view, at))
		{
			continue;
		}
		const entry_vm_handle vm{static_cast<std::uint16_t>(at)};
		const int usable = _view.peers[at].rooms[_service.idx].usable;
		const bool here = _view.rules->region_of(vm) == _region;
		(here ? near : far).push_back({vm, static_cast<double>(usable)});
		sum += here ? usable : 0;
	}
	const auto heavier = [](const lookup_choice& _a, const lookup_choice& _b)
	{
		return _b.weight < _a.weight;
	};
	std::sort(near.begin(), near.end(), heavier);
	std::stable_sort(far.begin(), far.end(), heavier);
	double left = _draw * sum;
	for (std::size_t at = 0; at < near.size(); ++at)
	{
		left -= near[at].weight;
		if (left < 0.0)
		{
			std::rotate(near.begin(), near.begin() + static_cast<std::ptrdiff_t>(at),
			    near.begin() + static_cast<std::ptrdiff_t>(at) + 1);
			break;
		}
	}
	near.insert(near.end(), far.begin(), far.end());
	for (lookup_choice& choice : near)
	{
		choice.weight = sum <= 0.0 ? 0.0 : std::round(choice.weight / sum * k_weight_steps) / k_weight_steps;
	}
	return near;
}

entry_vm_handle key_owner(const policy& _policy, const std::string& _key)
{
	entry_vm_handle best;
	std::uint64_t best_weight = 0;
	for (std::size_t at = 0; at < _policy.entry_vms.size(); ++at)
	{
		const std::uint64_t weight = rendezvous_weight(_key, _policy.entry_vms[at].name);
		if (!is_valid(best) || best_weight < weight)
		{
			best = {static_cast<std::uint16_t>(at)};
			best_weight = weight;
		}
	}
	return best;
}

std::string lookup_cache::list_json(
    const traffic_view& _view, service_handle _service, const std::vector<lookup_choice>& _choices)
{
	const policy& rules = *_view.rules;
	nlohmann::json list = nlohmann::json::array();
	for (std::size_t at = 0; at < std::min(_choices.size(), k_max_choices); ++at)
	{
		const lookup_choice& choice = _choices[at];
		const entry_vm_spec& vm = rules.at(choice.vm);
		list.push_back(
		    {{"name", vm.name}, {"address", to_string(vm.callers)}, {"domain", rules.at(vm.domain).name},
		        {"region", rules.regions[rules.region_of(choice.vm).idx].name}, {"weight", choice.weight}});
	}
	const nlohmann::json answer = {{"service", rules.at(_service).name}, {"entry_vms", list},
	    {"ttl_ms", k_lookup_ttl.count()}, {"revision", rules.rev.value}};
	return answer.dump();
}

const std::vector<lookup_cache::prepared_answer>& lookup_cache::prepared_answers(
    const view_ptr& _view, service_handle _service, region_handle _region)
{
	if (m_view != _view)
	{
		m_view = _view;
		m_answers.clear();
	}
	std::vector<prepared_answer>& all = m_answers[{_service.idx, _region.idx}];
	if (!all.empty())
	{
		return all;
	}
	// One answer for each entry VM that may be listed first; the fraction of draws that select the answer is
	// the weight of that entry VM.
	const std::vector<lookup_choice> base = order_entry_vms(*_view, _service, _region, 0.0);
	double sum = 0.0;
	for (const lookup_choice& choice : base)
	{
		sum += _view->rules->region_of(choice.vm) == _region ? choice.weight : 0.0;
	}
	double draw_limit = 0.0;
	for (std::size_t at = 0; at < base.size(); ++at)
	{
		const bool near = _view->rules->region_of(base[at].vm) == _region && 0.0 < base[at].weight;
		if (!near && 0 < at)
		{
			continue;
		}
		std::vector<lookup_choice> rotated = base;
		std::rotate(rotated.begin(), rotated.begin() + static_cast<std::ptrdiff_t>(at),
		    rotated.begin() + static_cast<std::ptrdiff_t>(at) + 1);
		draw_limit += sum <= 0.0 ? 1.0 : base[at].weight / sum;
		all.push_back({draw_limit, rotated.front().vm, list_json(*_view, _service, rotated)});
	}
	return all;
}

std::string lookup_cache::answer(const view_ptr& _view, service_handle _service,
    const boost::asio::ip::address& _caller, const signer& _signer, wall_time _now)
{
	const policy& rules = *_view->rules;
	region_handle region = region_for(*_view, _service, _caller);
	if (!is_valid(region))
	{
		// The cap of a shift leaves the caller unassigned: the answer lists the caller's home
		// region, where its request is refused with a retry delay.
		region = rules.home_of(_caller);
	}
	const std::vector<prepared_answer>& all = prepared_answers(_view, _service, region);
	if (all.empty())
	{
		return R"({"entry_vms":[],"ttl_ms":0})";
	}
	const double draw = std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
	std::size_t at = 0;
	while (at + 1 < all.size() && all[at].draw_limit <= draw)
	{
		++at;
	}
	const prepared_answer& chosen = all[at];
	grant issued_grant;
	issued_grant.service = rules.at(_service).name;
	issued_grant.entry_vm = rules.at(chosen.first).name;
	issued_grant.life = _view->peers[chosen.first.idx].life;
	issued_grant.issued = _now;
	issued_grant.expires = _now + k_grant_lifetime;
	issued_grant.nonce = m_random();
	std::string text = chosen.text;
	text.pop_back();
	return text + ",\"grant\":\"" + _signer.sign(issued_grant) + "\"}";
}
} // namespace larkrack
