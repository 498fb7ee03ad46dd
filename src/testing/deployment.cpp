// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "testing/deployment_p.h"

namespace larkrack
{
namespace
{
endpoint endpoint_of(const nlohmann::json& _text)
{
	result<endpoint> parsed = parse_endpoint(_text.get<std::string>());
	const endpoint* good = value_of(parsed);
	return nullptr == good ? endpoint{} : *good;
}
} // namespace

std::string deployment::region_of_backend(const std::string& _backend) const
{
	const auto domain = domain_of_backend.find(_backend);
	if (domain_of_backend.end() == domain)
	{
		return "";
	}
	const auto region = region_of_domain.find(domain->second);
	return region_of_domain.end() == region ? "" : region->second;
}

int deployment::slots_of(const std::string& _service) const
{
	for (const deployed_service& service : services)
	{
		if (service.name == _service)
		{
			return service.backends * service.slots;
		}
	}
	return 0;
}

result<deployment> read_deployment(const std::string& _path)
{
	result<nlohmann::json> file = read_json_file(_path);
	if (const error* failure = std::get_if<error>(&file))
	{
		return *failure;
	}
	const nlohmann::json& document = std::get<nlohmann::json>(file);
	deployment read;
	read.name = document.value("name", "");
	read.token = document.value("token", "");
	read.platform = endpoint_of(document.at("platform"));
	read.backend_control = endpoint_of(document.at("backend_control"));
	for (const nlohmann::json& vm : document.at("entry_vms"))
	{
		read.entry_vms.push_back({vm.at("name"), vm.at("domain"), vm.at("region"),
		    endpoint_of(vm.at("callers")), endpoint_of(vm.at("operators"))});
	}
	for (const auto& [region, places] : document.at("regions").items())
	{
		read.regions.push_back(region);
		read.caller_prefix[region] = places.at("callers");
		for (const nlohmann::json& domain : places.at("domains"))
		{
			read.region_of_domain[domain] = region;
		}
	}
	for (const auto& [service, size] : document.at("services").items())
	{
		read.services.push_back({service, size.at("backends"), size.at("slots")});
	}
	read.domain_of_backend = document.at("domain_of_backend").get<std::map<std::string, std::string>>();
	return read;
}
} // namespace larkrack
