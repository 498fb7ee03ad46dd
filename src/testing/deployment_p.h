// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Description of a deployment for the tools: addresses of all programs, regions, failure domains and
/// services.
/// Owns: no state.
/// Relies on: `deployment.json` of an example, which `scripts/make-examples` writes.
#pragma once

#include "base/settings_p.h"

#include <map>
#include <string>
#include <vector>

namespace larkrack
{
/// Entry VM of a deployment.
struct deployed_vm
{
	std::string name;
	std::string domain;
	std::string region;
	endpoint callers;
	endpoint operators;
};

/// Service of a deployment.
struct deployed_service
{
	std::string name;
	int backends = 0; ///< Number of backend servers.
	int slots = 0;    ///< Slots of each backend server.
};

/// Contents of a deployment file.
struct deployment
{
	std::string name;
	std::string token;
	endpoint platform;
	endpoint backend_control;
	std::vector<deployed_vm> entry_vms;
	std::vector<std::string> regions;
	std::map<std::string, std::string>
	    caller_prefix; ///< First two numbers of the callers' addresses, by region.
	std::vector<deployed_service> services;
	std::map<std::string, std::string> domain_of_backend;
	std::map<std::string, std::string> region_of_domain;

	/// @returns Region of a backend server, or an empty string.
	std::string region_of_backend(const std::string& _backend) const;
	/// @returns Total number of slots of all backend servers of a service.
	int slots_of(const std::string& _service) const;
};

/// Reads a deployment file.
result<deployment> read_deployment(const std::string& _path);
} // namespace larkrack
