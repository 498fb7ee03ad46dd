// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Name and location of a node, as given in its settings. No state, no dependencies.
#pragma once

#include <string>

namespace larkrack
{
/// A node's name, failure domain and region.
struct placement
{
	std::string node;
	std::string domain;
	std::string region;
};

} // namespace larkrack
