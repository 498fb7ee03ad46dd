// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/policy_p.h"

#include "larkrack/config.h"

#include <cmath>
#include <regex>

namespace larkrack
{
namespace
{
/// Accepted deviation of the sum of shares from 1: people write rounded decimals.
constexpr double k_sum_tolerance = 1e-6;
/// Connections of a backend server whose resource states none.
constexpr int k_default_connections = 330;
/// Maximum bytes of one resource's JSON; larger ones are to be divided into shards, because a change sends
/// whole resources to other nodes.
constexpr std::size_t k_max_resource_bytes = 1000000;

template <typename Spec>
std::uint16_t index_of(const std::vector<Spec>& _table, const std::string& _name)
{
	for (std::size_t at = 0; at < _table.size(); ++at)
	{
		if (_table[at].name == _name)
		{
			return static_cast<std::uint16_t>(at);
		}
	}
	return k_invalid_index;
}

/// Reads the resources kind by kind and collects all mistakes.
class policy_builder
{
public:
	policy_builder(const config_state& _state, const config_state* _former_state, policy_ptr _former)
	    : m_state(_state), m_former_state(_former_state), m_former(std::move(_former)),
	      m_policy(std::make_shared<policy>())
	{
		m_policy->rev = _state.rev;
	}

	std::variant<policy_ptr, std::vector<mistake>> run()
	{
		check_all();
		if (!m_mistakes.empty())
		{
			return std::move(m_mistakes);
		}
		read_topology();
		read_services();
		read_clients();
		if (!m_mistakes.empty())
		{
			return std::move(m_mistakes);
		}
		return policy_ptr(m_policy);
	}

private:
	using visitor =
	    std::function<void(const std::string& _name, const nlohmann::json& _spec, const std::string& _path)>;

	void for_each_resource(const std::string& _kind, const visitor& _visit)
	{
		const std::string prefix = _kind + "/";
		for (auto it = m_state.resources.lower_bound(prefix); m_state.resources.end() != it; ++it)
		{
			if (0 != it->first.compare(0, prefix.size(), prefix))
			{
				return;
			}
			// Text that is not JSON becomes a value that check_resource reports as a mistake.
			const nlohmann::json spec = nlohmann::json::parse(it->second.spec, nullptr, false);
			_visit(it->first.substr(prefix.size()), spec, "/" + it->first + "/spec");
		}
	}

	void check_all()
	{
		for (const std::string& kind : resource_kinds())
		{
			if ("client_blocks" == kind)
			{
				continue;
			}
			for_each_resource(kind,
			    [&](const std::string& _name, const nlohmann::json& _spec, const std::string& _path)
			    {
				    for (mistake one : check_resource(kind, _name, _spec))
				    {
					    one.path = _path + one.path;
					    m_mistakes.push_back(one);
				    }
			    });
		}
	}

	template <typename Handle, typename Spec>
	Handle resolve_reference(const std::vector<Spec>& _table, const nlohmann::json& _spec, const char* _field,
	    const std::string& _path)
	{
		const std::string name = _spec.at(_field);
		const Handle found{index_of(_table, name)};
		if (!is_valid(found))
		{
			m_mistakes.push_back(
			    {_path + "/" + _field, "\"" + name + "\"", std::string("name of a declared ") + _field});
		}
		return found;
	}

	endpoint read_endpoint(const nlohmann::json& _spec, const char* _field, const std::string& _path)
	{
		const std::string text = _spec.at(_field);
		result<endpoint> parsed = parse_endpoint(text);
		if (endpoint* good = value_of(parsed))
		{
			return *good;
		}
		m_mistakes.push_back({_path + "/" + _field, "\"" + text + "\"", "IP:port, as in 127.0.0.1:8000"});
		return {};
	}

	// The defaults below are for fields that the schema declares optional; check_all has reported all other
	// missing fields.
	void read_topology()
	{
		for_each_resource("region",
		    [&](const std::string& _name, const nlohmann::json& _spec, const std::string&)
		    {
			    m_policy->regions.push_back(
			        {_name, _spec.value("max_share", 1.0), _spec.value("drain", false)});
		    });
		for_each_resource("domain",
		    [&](const std::string& _name, const nlohmann::json& _spec, const std::string& _path)
		    {
			    const auto region =
			        resolve_reference<region_handle>(m_policy->regions, _spec, "region", _path);
			    m_policy->domains.push_back({_name, region, _spec.value("drain", false)});
		    });
		for_each_resource("site",
		    [&](const std::string& _name, const nlohmann::json& _spec, const std::string& _path)
		    {
			    m_policy->sites.push_back(
			        {_name, resolve_reference<domain_handle>(m_policy->domains, _spec, "domain", _path)});
		    });
		for_each_resource("entry_vm",
		    [&](const std::string& _name, const nlohmann::json& _spec, const std::string& _path)
		    {
			    entry_vm_spec vm;
			    vm.name = _name;
			    vm.domain = resolve_reference<domain_handle>(m_policy->domains, _spec, "domain", _path);
			    vm.callers = read_endpoint(_spec, "callers", _path);
			    vm.relay = read_endpoint(_spec, "relay", _path);
			    vm.peers = read_endpoint(_spec, "peers", _path);
			    vm.drain = _spec.value("drain", false);
			    m_policy->entry_vms.push_back(vm);
		    });
	}

	void read_services()
	{
		for_each_resource("service",
		    [&](const std::string& _name, const nlohmann::json& _spec, const std::string&)
		    {
			    service_spec service;
			    service.name = _name;
			    service.run_limit =
			        std::chrono::milliseconds(_spec.value("run_limit_ms", k_default_run_limit.count()));
			    service.deadline =
			        std::chrono::milliseconds(_spec.value("deadline_ms", k_default_deadline.count()));
			    service.owners = _spec.value("owners", std::size_t{1});
			    const double even =
			        1.0 / static_cast<double>(std::max<std::size_t>(1, m_policy->regions.size()));
			    service.steering.shares.assign(m_policy->regions.size(), even);
			    service.steering.demand = service.steering.shares;
			    m_policy->services.push_back(service);
		    });
		for_each_resource("backend_server",
		    [&](const std::string& _name, const nlohmann::json& _spec, const std::string& _path)
		    {
			    backend_spec backend;
			    backend.name = _name;
			    backend.service =
			        resolve_reference<service_handle>(m_policy->services, _spec, "service", _path);
			    backend.domain = resolve_reference<domain_handle>(m_policy->domains, _spec, "domain", _path);
			    backend.address = read_endpoint(_spec, "address", _path);
			    backend.slots = _spec.at("slots");
			    backend.connections = _spec.value("connections", k_default_connections);
			    backend.drain = _spec.value("drain", false);
			    m_policy->backends.push_back(backend);
		    });
		for_each_resource("steering",
		    [&](const std::string& _name, const nlohmann::json& _spec, const std::string& _path)
		    {
			    read_steering(_name, _spec, _path);
		    });
	}

	void read_steering(const std::string& _name, const nlohmann::json& _spec, const std::string& _path)
	{
		const service_handle service = m_policy->find_service(_name);
		if (!is_valid(service))
		{
			m_mistakes.push_back({"/steering/" + _name, "\"" + _name + "\"", "name of a declared service"});
			return;
		}
		steering_spec& steering = m_policy->services[service.idx].steering;
		steering.shares = read_shares(_spec.at("shares"), _path + "/shares");
		if (_spec.contains("demand"))
		{
			steering.demand = read_shares(_spec.at("demand"), _path + "/demand");
		}
		steering.cap = _spec.value("cap", steering.cap);
		const double window_s = _spec.value("window_s", 10.0);
		steering.window = std::chrono::microseconds(std::llround(window_s * 1e6));
	}

	std::vector<double> read_shares(const nlohmann::json& _shares, const std::string& _path)
	{
		std::vector<double> shares(m_policy->regions.size(), 0.0);
		double sum = 0.0;
		for (const auto& [name, share] : _shares.items())
		{
			const region_handle region = m_policy->find_region(name);
			if (!is_valid(region))
			{
				m_mistakes.push_back({_path + "/" + name, "\"" + name + "\"", "name of a declared region"});
				continue;
			}
			shares[region.idx] = share.get<double>();
			sum += share.get<double>();
		}
		if (k_sum_tolerance < std::abs(sum - 1.0))
		{
			m_mistakes.push_back({_path, "sum " + std::to_string(sum), "shares whose sum is 1"});
		}
		return shares;
	}

	/// @returns Whether a resource is the same as in the former state and all sites have the same handles.
	bool is_unchanged(const std::string& _key, const resource_value& _value) const
	{
		if (nullptr == m_former_state || !m_former || !m_sites_unchanged)
		{
			return false;
		}
		const auto it = m_former_state->resources.find(_key);
		return m_former_state->resources.end() != it && it->second.rev == _value.rev &&
		       it->second.by == _value.by;
	}

	void read_clients()
	{
		std::unordered_map<std::string, site_handle> sites;
		m_sites_unchanged = m_former && m_former->sites.size() == m_policy->sites.size();
		for (std::size_t at = 0; at < m_policy->sites.size(); ++at)
		{
			sites[m_policy->sites[at].name] = site_handle{static_cast<std::uint16_t>(at)};
			m_sites_unchanged = m_sites_unchanged && m_former->sites[at].name == m_policy->sites[at].name;
		}
		const std::string prefix = "client_blocks/";
		bool changed = !m_former;
		for (auto it = m_state.resources.lower_bound(prefix);
		     m_state.resources.end() != it && 0 == it->first.compare(0, prefix.size(), prefix); ++it)
		{
			if (is_unchanged(it->first, it->second) && 0 < m_former->client_shards.count(it->first))
			{
				m_policy->client_shards[it->first] = m_former->client_shards.at(it->first);
				continue;
			}
			changed = true;
			read_shard(it->first, it->second.spec, sites);
		}
		changed = changed || m_former->client_shards.size() != m_policy->client_shards.size();
		m_policy->clients =
		    changed && m_mistakes.empty() ? build_client_table() : (m_former ? m_former->clients : nullptr);
	}

	std::shared_ptr<const prefix_table> build_client_table() const
	{
		std::vector<client_block> all;
		for (const auto& [key, shard] : m_policy->client_shards)
		{
			all.insert(all.end(), shard->begin(), shard->end());
		}
		return std::make_shared<prefix_table>(std::move(all));
	}

	void read_shard(const std::string& _key, const std::string& _spec,
	    const std::unordered_map<std::string, site_handle>& _sites)
	{
		const nlohmann::json spec = nlohmann::json::parse(_spec, nullptr, false);
		const std::string path = "/" + _key + "/spec";
		for (mistake one : check_resource("client_blocks", _key.substr(_key.find('/') + 1), spec))
		{
			one.path = path + one.path;
			m_mistakes.push_back(one);
		}
		if (!spec.is_object() || !spec.contains("blocks") || !spec["blocks"].is_object())
		{
			return;
		}
		std::vector<client_block> blocks;
		for (const auto& [cidr, site] : spec["blocks"].items())
		{
			// check_resource has reported values of other types.
			if (site.is_string())
			{
				read_block(cidr, site, _sites, path, blocks);
			}
		}
		m_policy->client_shards[_key] = std::make_shared<const std::vector<client_block>>(std::move(blocks));
	}

	void read_block(const std::string& _cidr, const std::string& _site,
	    const std::unordered_map<std::string, site_handle>& _sites, const std::string& _path,
	    std::vector<client_block>& _blocks)
	{
		result<client_block> parsed = parse_block(_cidr);
		client_block* block = value_of(parsed);
		if (nullptr == block)
		{
			m_mistakes.push_back({_path + "/blocks", "\"" + _cidr + "\"", "address/bits, as in 10.1.0.0/16"});
			return;
		}
		const auto it = _sites.find(_site);
		if (_sites.end() == it)
		{
			m_mistakes.push_back(
			    {_path + "/blocks/" + _cidr, "\"" + _site + "\"", "name of a declared site"});
			return;
		}
		block->site = it->second;
		_blocks.push_back(*block);
	}

	const config_state& m_state;
	const config_state* m_former_state;
	policy_ptr m_former;
	std::shared_ptr<policy> m_policy;
	std::vector<mistake> m_mistakes;
	bool m_sites_unchanged = false;
};
} // namespace

region_handle policy::find_region(const std::string& _name) const
{
	return {index_of(regions, _name)};
}

domain_handle policy::find_domain(const std::string& _name) const
{
	return {index_of(domains, _name)};
}

entry_vm_handle policy::find_entry_vm(const std::string& _name) const
{
	return {index_of(entry_vms, _name)};
}

service_handle policy::find_service(const std::string& _name) const
{
	return {index_of(services, _name)};
}

region_handle policy::home_of(const boost::asio::ip::address& _caller) const
{
	const site_handle site = clients ? clients->find(_caller) : site_handle{};
	if (is_valid(site))
	{
		return at(sites[site.idx].domain).region;
	}
	return regions.empty() ? region_handle{} : region_handle{0};
}

std::vector<mistake> check_resource(
    const std::string& _kind, const std::string& _name, const nlohmann::json& _spec)
{
	static const std::regex s_name("[a-z0-9][a-z0-9._-]{0,62}");
	const nlohmann::json* schema = schema_resource(_kind);
	if (nullptr == schema)
	{
		return {{"", "\"" + _kind + "\"", "one of the resource kinds"}};
	}
	std::vector<mistake> mistakes = check_schema(*schema, _spec);
	if (!std::regex_match(_name, s_name))
	{
		mistakes.push_back(
		    {"", "\"" + _name + "\"", "name of lower-case letters, digits, '.', '_' and '-', 63 at most"});
	}
	if (k_max_resource_bytes < _spec.dump().size())
	{
		mistakes.push_back({"", "spec", "less than a megabyte; divide it into shards"});
	}
	return mistakes;
}

std::variant<policy_ptr, std::vector<mistake>> build_policy(
    const config_state& _state, const config_state* _former_state, const policy_ptr& _former)
{
	return policy_builder(_state, _former_state, _former).run();
}
} // namespace larkrack
