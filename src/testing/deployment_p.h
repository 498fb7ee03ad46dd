// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Description of a deployment for tools: where everything listens and what belongs to what.
/// Owns: nothing. Relies on: `deployment.json` of an example, which `scripts/make-examples` writes.
#pragma once

#include "base/settings_p.h"

#include <map>
#include <string>
#include <vector>

namespace larkrack
{
/// One entry VM, as tools see it.
struct deployed_vm
{
	std::string name;
	std::string domain;
	std::string region;
	endpoint callers;
	endpoint operators;
};

/// One service, as tools see it.
struct deployed_service
{
	std::string name;
	int backends = 0;
	int slots = 0; ///< Of each backend server.
};

struct deployment
{
	std::string name;
	std::string token;
	endpoint platform;
	endpoint backend_control;
	std::vector<deployed_vm> entry_vms;
	std::vector<std::string> regions;
	std::map<std::string, std::string>
	    caller_prefix; ///< Region to the first two numbers of its callers' addresses.
	std::vector<deployed_service> services;
	std::map<std::string, std::string> domain_of_backend;
	std::map<std::string, std::string> region_of_domain;

	/// @returns Region of a backend server, or an empty text.
	std::string region_of_backend(const std::string& _backend) const;
	/// @returns Slots of all backend servers of a service.
	int slots_of(const std::string& _service) const;
};

/// Reads a deployment file.
result<deployment> read_deployment(const std::string& _path);
} // namespace larkrack
