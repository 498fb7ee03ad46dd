// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Region rooms: slots and requests of one service in each region, for admission.
///
/// Inputs: the backend servers of the service, and this node's portion of the slots in each region.
///
/// Algorithm: sums over the backend servers that are usable and warm; the others take hardly any requests, so
/// neither their slots nor their requests are room. Linear in the number of backend servers. This node's
/// portion is the length of its interval times the slots, without the rounding to whole slots of
/// slot_portion::slots_of(), which evens out over the backend servers.
///
/// Relies on its caller for the pace (min_plan_interval() of service_steering_p.h).
#pragma once

#include "steering/admission_p.h"
#include "steering/slot_portion_p.h"

#include <map>
#include <vector>

namespace larkrack
{
/// @param[in] _portions This node's portions; a region that is missing has all slots as its portion.
/// @returns Room by region, of regions with usable and warm backend servers.
std::map<region_name, region_room> region_rooms(const std::vector<backend_state*>& _backends,
    const std::map<region_name, slot_portion>& _portions, steady_time _now);
} // namespace larkrack
