// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Report transport: how admission reports (admission_p.h) travel inside node_heartbeat::sent_per_s.
///
/// Heartbeats and digests have a strict layout: a node of an earlier version rejects a datagram with another
/// number of fields. Reports therefore use names that no service has. An earlier version adds their numbers
/// up under these names, which it never queries.
/// - load_levels_of(service): one number by region, the level, rounded to k_level_steps steps so that it is
///   encoded in five bytes; a level that rounds to 0 is left out.
/// - group_counts_of(service): one number by group, its running requests, under the hexadecimal id of the
///   group; the k_max_reported_groups largest, and the sum of all others under k_rest_of_groups.
/// A name without numbers is left out, so a heartbeat without load has the same bytes as in an earlier
/// version.
///
/// A receiver can not tell a level of 0 from a node that does not use a region. Decoding therefore adds level
/// 0 for the regions to which the same heartbeat reports requests of the service.
#pragma once

#include "steering/admission_p.h"

namespace larkrack
{
/// Maximum number of groups that a report lists one by one. More: larger datagrams (22 bytes each). Fewer:
/// groups that use more than their share go unnoticed by other nodes.
constexpr std::size_t k_max_reported_groups = 8;
/// Steps of an encoded number of requests; a power of two, since a float holds its multiples exactly. Fewer:
/// the waiting requests of others are forgotten too soon. More: nothing is gained.
constexpr double k_count_steps = 16.0;
/// Steps of an encoded level; a power of two, since a float holds its multiples exactly. Fewer: levels of
/// single nodes are too coarse to settle on a common one. More: nothing is gained.
constexpr double k_level_steps = 256.0;
/// Name of the sum over the groups that are not listed; not a hexadecimal number.
constexpr const char* k_rest_of_groups = "rest";
/// Name of the waiting requests of groups below their shares; not a hexadecimal number.
constexpr const char* k_waiting_of_groups = "waiting";

/// @returns The report with its groups cut to the largest k_max_reported_groups, the others added to the
/// rest.
admission_report limit_groups(admission_report _report);
/// Adds a report to the rates that a heartbeat tells.
void add_report(
    const service_name& _service, const admission_report& _report, rate_by_service_and_region& _sent);
/// @returns The report about a service that the rates of a heartbeat hold; empty if there is none. Invalid
/// groups are left out, and a level above 1 counts as 1.
admission_report report_in(const rate_by_service_and_region& _sent, const service_name& _service);
/// @returns Whether a name stands for a report and not for rates of requests.
bool is_report_name(const service_name& _name);
} // namespace larkrack
