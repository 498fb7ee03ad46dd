// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// HTTP messages that a node generates: a request as it is sent to a backend server, and the responses that
/// no backend server gave. No state.
///
/// Relies on header_rules_p.h for the hop-by-hop headers.
#pragma once

#include "entry_node/header_rules_p.h"
#include "entry_node/upstream_p.h"
#include "steering/customer_p.h"

namespace larkrack
{
/// @param[in] _target The only backend server that may run the request.
/// @param[in] _customer Customer that the request belongs to; empty: none.
/// @returns The caller's request, its bytes set: without hop-by-hop headers and API key, with headers for the
/// time left, the target, the customer and the length of the body.
upstream_request make_upstream_request(const caller_request& _request, const header_names& _names,
    const backend_id& _target, const customer_name& _customer);
/// @returns A response without a body.
caller_response make_response(unsigned _status);
/// @param[in] _retry_after_s Value of Retry-After, seconds.
/// @returns A response without a body that tells the caller when to retry.
caller_response make_refusal(unsigned _status, double _retry_after_s);
} // namespace larkrack
