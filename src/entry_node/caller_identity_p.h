// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// What the head of a request tells: its route, and whose it is, by the header with the caller's API key. No
/// state. Relies on customer_directory to find the holder of a key.
#pragma once

#include "entry_node/upstream_p.h"
#include "steering/routing_table_p.h"

namespace larkrack
{
/// @returns The request's route; null when there is none.
const route* route_of(const caller_request& _request, const routing_table& _routes);

/// Whether a request may go on.
enum class key_check
{
	not_needed, ///< No customers are declared, or the route is public and there is no known key.
	known,
	refused, ///< No key, several, or one that no customer holds.
};

/// Whose request it is.
struct caller_identity
{
	key_check check = key_check::not_needed;
	const customer* holder = nullptr; ///< Of the directory that was asked; null unless the key is known.
};

/// A known key names its customer on a public route as well.
caller_identity identify(const caller_request& _request, const route& _route,
    const customer_directory& _customers, const header_names& _names);
} // namespace larkrack
