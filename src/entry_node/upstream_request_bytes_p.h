// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// A request as it is sent to a backend server. No state.
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
/// @param[in] _body Body of the caller's request; null: it is empty.
/// @returns The caller's request, its bytes set: without hop-by-hop headers and API key, with headers for the
/// time left, the target, the customer and the length of the body.
upstream_request make_upstream_request(const caller_request& _request, const header_names& _names,
    const backend_id& _target, const customer_name& _customer, body_ptr _body);
} // namespace larkrack
