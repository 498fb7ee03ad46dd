// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Request rates, in requests a second, by what they belong to.
#pragma once

#include "steering/names_p.h"

#include <map>

namespace larkrack
{
using rate_by_service = std::map<service_name, double>;
using rate_by_region = std::map<region_name, double>;
using rate_by_service_and_region = std::map<service_name, rate_by_region>;
} // namespace larkrack
