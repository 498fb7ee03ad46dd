// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Name and place of a node, as its settings tell them.
#pragma once

#include <string>

namespace larkrack
{
/// Where a node stands.
struct placement
{
	std::string node;
	std::string domain;
	std::string region;
};

} // namespace larkrack
