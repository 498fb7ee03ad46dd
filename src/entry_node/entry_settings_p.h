// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Settings of larkrack-edge: reads them from JSON, validates them against a schema and reports all errors at
/// once. No state. Relies on base/settings_p.h for schema validation and on parse_endpoint() for addresses.
#pragma once

#include "entry_node/forwarder_p.h"
#include "steering/change_bounds_p.h"

#include "base/settings_p.h"

namespace larkrack
{
/// Default maximum share of a service's requests that a new version gets until the rollout has judged it.
constexpr double k_expose_share = 0.1;

/// Behaviour under overload.
struct overload_settings
{
	admission_kind admission = admission_kind::arrival;
	std::optional<int> memory_mb; ///< Memory of the process; absent: no bound.
	int max_response_mb = k_max_response_mb;
};

/// Validated settings of one larkrack-edge process; the schema in entry_settings.cpp describes each field.
struct entry_settings
{
	placement place;
	std::string ip;
	endpoint callers;
	std::optional<endpoint> readiness;
	std::optional<endpoint> lookups;
	std::optional<endpoint> peers;
	std::uint16_t heartbeat_port = 0;
	std::optional<endpoint> metrics;
	endpoint store;
	std::vector<std::string> seeds;
	std::unordered_map<std::string, std::string> region_of; ///< Region by failure domain.
	int max_descriptors = 1024;
	shared_bounds bounds;
	change_bounds changes;
	overload_settings overload;
	quota_bounds quotas;
	backend_choice_setting backend_choice = backend_choice_setting::reported;
	/// Maximum share of a service's requests at a version that is being judged.
	double expose_share = k_expose_share;
	std::chrono::milliseconds lookup_ttl{0};
	std::chrono::milliseconds grace{0}; ///< Time between SIGTERM and SIGKILL.
};

/// Validates and reads settings.
/// @returns The settings, or all errors in the document.
std::variant<entry_settings, std::vector<mistake>> parse_entry_settings(const nlohmann::json& _document);
/// A key of a settings document that the schema does not define.
struct unknown_key
{
	std::string path;    ///< JSON pointer to the key, as in "/listen/caller".
	std::string nearest; ///< Most similar key of the schema; empty when no key is similar.
};
/// @returns Keys that are ignored because the schema does not define them.
std::vector<unknown_key> unknown_keys(const nlohmann::json& _document);
/// @returns JSON schema of the settings of larkrack-edge.
const nlohmann::json& schema_entry_settings();
} // namespace larkrack
