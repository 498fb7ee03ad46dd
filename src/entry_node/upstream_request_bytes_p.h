// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Bytes of HTTP that a node makes itself: a request as it goes to a backend server, and the answers that no
/// backend server gave.
///
/// Relies on header_rules_p.h for the headers that concern one connection only.
#pragma once

#include "entry_node/header_rules_p.h"
#include "entry_node/upstream_p.h"
#include "steering/customer_p.h"

namespace larkrack
{
/// @param[in] _left Time until the deadline; at least 1 ms is told.
/// @param[in] _target Backend server that alone may run the request.
/// @param[in] _customer Whose request it is; empty: nobody's.
/// @returns The caller's request, without the headers of its connection and without its API key, and with
/// the time left, the target, the customer and the length of its body.
std::string upstream_request_bytes(const caller_request& _request, const header_names& _names,
    std::chrono::milliseconds _left, const backend_id& _target, const customer_name& _customer);
/// @returns An answer without a body.
caller_response plain_answer(unsigned _status);
/// @param[in] _retry_after_s Time after which the caller may come back.
caller_response refusal_answer(unsigned _status, double _retry_after_s);
} // namespace larkrack
