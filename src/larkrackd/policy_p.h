// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The operators' resources as typed, immutable tables (policy), built from the agreed configuration.
///
/// Decides: whether a configuration is valid. One mistake rejects the whole configuration, and all mistakes
/// are reported.
/// Owns: nothing that changes. A policy is shared by all threads; handles index the tables of one policy and
/// mean nothing in another.
/// Relies on: schema for the form of each resource; prefix_table for the longest-prefix match of client
/// blocks.
/// Units: shares, demands and max_share from 0 to 1; slots and connections are counts; times as their types
/// say. Cost of building with up to 1.1 million client blocks: docs/CAPACITY.md.
#pragma once

#include "base/schema_p.h"
#include "base/settings_p.h"
#include "larkrackd/prefix_table_p.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace larkrack
{
/// A resource as it is stored and sent to other nodes.
struct resource_value
{
	std::string spec; ///< JSON text, which takes far less memory than parsed JSON.
	revision rev;     ///< Configuration revision of its last change.
	std::string by;   ///< Id of the write that changed it last.
};

/// Resources by "kind/name".
using resource_map = std::map<std::string, resource_value>;

/// The configuration as it is agreed on and sent to other nodes.
struct config_state
{
	revision rev;
	resource_map resources;
};

struct region_spec
{
	std::string name;
	double max_share = 1.0; ///< Fraction of a service's slots in the region that may be used, 0 to 1.
	bool drain = false;     ///< No new work.
};

struct domain_spec
{
	std::string name;
	region_handle region;
	bool drain = false;
};

/// A location of callers; client blocks refer to it.
struct site_spec
{
	std::string name;
	domain_handle domain;
};

struct entry_vm_spec
{
	std::string name;
	domain_handle domain;
	endpoint callers; ///< Address for callers.
	endpoint relay;   ///< Address for requests that other entry VMs forward.
	endpoint peers;   ///< Address for control messages of other entry VMs.
	bool drain = false;
};

/// Wanted distribution of a service's traffic among regions.
struct steering_spec
{
	std::vector<double> shares; ///< By region handle; the sum is 1.
	/// Fraction of callers whose home is the region, by region handle; the sum is 1.
	std::vector<double> demand;
	double cap = 0.1; ///< Maximum share that a region may gain within a window.
	std::chrono::microseconds window{std::chrono::seconds(10)}; ///< Length of the sliding window.
};

struct service_spec
{
	std::string name;
	std::chrono::milliseconds run_limit{0}; ///< Maximum time a request may run at a backend server.
	std::chrono::milliseconds deadline{0};  ///< Deadline of requests that state none.
	std::size_t owners = 1; ///< Number of entry VMs of a failure domain that share its backend servers.
	steering_spec steering;
};

struct backend_spec
{
	std::string name;
	service_handle service;
	domain_handle domain;
	endpoint address;
	int slots = 0;       ///< Requests that the backend server can run at once.
	int connections = 0; ///< Connections that it accepts; larkrackd does not enforce this limit.
	bool drain = false;  ///< No new work; running requests complete.
};

/// All tables at one revision. Handles index them and are valid for this policy only.
struct policy
{
	revision rev;
	std::vector<region_spec> regions;
	std::vector<domain_spec> domains;
	std::vector<site_spec> sites;
	std::vector<entry_vm_spec> entry_vms;
	std::vector<service_spec> services;
	std::vector<backend_spec> backends;
	std::shared_ptr<const prefix_table> clients;
	/// Blocks of each shard by "client_blocks/name", so that a change parses only the shards that it changes.
	std::map<std::string, std::shared_ptr<const std::vector<client_block>>> client_shards;

	/// @returns Handle of the entry with this name, or an invalid one.
	region_handle find_region(const std::string& _name) const;
	domain_handle find_domain(const std::string& _name) const;
	entry_vm_handle find_entry_vm(const std::string& _name) const;
	service_handle find_service(const std::string& _name) const;

	const domain_spec& at(domain_handle _handle) const
	{
		return domains[_handle.idx];
	}
	const entry_vm_spec& at(entry_vm_handle _handle) const
	{
		return entry_vms[_handle.idx];
	}
	const service_spec& at(service_handle _handle) const
	{
		return services[_handle.idx];
	}
	const backend_spec& at(backend_handle _handle) const
	{
		return backends[_handle.idx];
	}
	/// @returns Region of an entry VM.
	region_handle region_of(entry_vm_handle _handle) const
	{
		return at(at(_handle).domain).region;
	}
	/// @returns Home region of a caller; the first region if no client block contains the caller.
	region_handle home_of(const boost::asio::ip::address& _caller) const;
};

using policy_ptr = std::shared_ptr<const policy>;

/// Builds and checks a policy.
/// @param[in] _former_state Configuration of an earlier policy; client blocks that have not changed since are
/// not parsed again.
/// @param[in] _former Policy of that configuration.
/// @returns The policy, or every mistake; a configuration with a mistake is never applied in part.
std::variant<policy_ptr, std::vector<mistake>> build_policy(const config_state& _state,
    const config_state* _former_state = nullptr, const policy_ptr& _former = nullptr);

/// Checks one resource alone, without its references to others.
std::vector<mistake> check_resource(
    const std::string& _kind, const std::string& _name, const nlohmann::json& _spec);
} // namespace larkrack
