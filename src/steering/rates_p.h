// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Request rates, in requests per second, by service and region.
#pragma once

#include "steering/names_p.h"

#include <map>

namespace larkrack
{
using rate_by_service = std::map<service_name, double>;
using rate_by_region = std::map<region_name, double>;
using rate_by_service_and_region = std::map<service_name, rate_by_region>;

/// @returns Name under which heartbeats hold the rate of a service's requests that may run in one region
/// only.
inline service_name pinned_requests_of(const service_name& _service)
{
	return service_name(_service.text + "/home");
}
/// @returns Name under which heartbeats hold the load levels of a service, by region (report_transport_p.h).
inline service_name load_levels_of(const service_name& _service)
{
	return service_name(_service.text + "/load");
}
/// @returns Name under which heartbeats hold the running requests of a service's groups
/// (report_transport_p.h).
inline service_name group_counts_of(const service_name& _service)
{
	return service_name(_service.text + "/groups");
}
} // namespace larkrack
