// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Makes the admission of a service from the setting `overload.admission`. No state.
#pragma once

#include "steering/admission_p.h"

#include <functional>
#include <memory>
#include <random>

namespace larkrack
{
/// Value of the setting `overload.admission`.
enum class admission_kind
{
	arrival,  ///< arrival_admission_p.h
	priority, ///< priority_admission_p.h
};

/// What an admission needs of its node.
struct admission_surroundings
{
	region_name region;                        ///< Region of the node.
	std::minstd_rand& random;                  ///< Random generator of the node; outlives the admission.
	std::function<double(group_id)> weight_of; ///< Weight of a group in fair shares; outlives the admission.
};

using admission_factory = std::function<std::unique_ptr<admission_base>(const admission_surroundings&)>;

/// @returns The factory for a value of the setting.
admission_factory make_admission_factory(admission_kind _kind);
} // namespace larkrack
