// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Lookups by the headers of a request: its route, its timeout, and its customer by the API key. No state.
/// Relies on customer_directory to find the holder of a key.
#pragma once

#include "entry_node/upstream_p.h"
#include "steering/routing_table_p.h"

namespace larkrack
{
/// @returns The route for the request's host and path; null when there is none.
const route* find_route(const caller_request& _request, const routing_table& _routes);

/// @returns Text of the caller's header with its timeout; nothing when there is none. Valid as long as the
/// request.
std::optional<std::string_view> stated_timeout(const caller_request& _request, const header_names& _names);

/// @param[in] _route Route of the request; null: it matches none.
/// @returns Time from the arrival of a request to its deadline.
std::chrono::milliseconds timeout_of(
    const caller_request& _request, const route* _route, const header_names& _names);

/// Result of the check of a request's API key.
enum class key_check
{
	not_needed, ///< No customers are declared, or the route is public and the request has no known key.
	known,      ///< The key of a customer.
	refused,    ///< No key, several keys, or a key that no customer holds.
};

/// Customer that a request belongs to.
struct caller_identity
{
	key_check check = key_check::not_needed;
	const customer* holder = nullptr; ///< Owned by the directory; null unless the key is known.
};

/// Identifies the customer by the API key. A known key identifies its customer on a public route as well.
caller_identity identify(const caller_request& _request, const route& _route,
    const customer_directory& _customers, const header_names& _names);
} // namespace larkrack
