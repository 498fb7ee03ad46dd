// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Names of the headers that callers, nodes and backend servers exchange. A platform may have names of its
/// own.
#pragma once

#include <string>

namespace larkrack
{
/// Names of the headers that callers, nodes and backend servers exchange. Set once, at the start.
struct header_names
{
	std::string request_id = "Larkrack-Request-Id";
	std::string timeout_ms = "Larkrack-Deadline-Ms"; ///< Milliseconds that remain.
	std::string target_id = "Larkrack-Backend";      ///< Only this backend server may run the request.
	std::string not_run = "Larkrack-Shed";           ///< The backend server did not run the request.
	std::string load = "Larkrack-Load";              ///< Running, waiting, slots.
	std::string limit = "Larkrack-Limit";     ///< Requests a second that it takes from all nodes together.
	std::string leaving = "Larkrack-Leaving"; ///< The backend server is about to end.
	std::string affinity_cookie = "Larkrack-Affinity";
	std::string signature = "Larkrack-Signature"; ///< Stands in each answer of a backend server that ran.
	std::string api_key = "Larkrack-Api-Key";     ///< Of a caller; never passed on.
	std::string customer = "Larkrack-Customer"; ///< Name of the customer that holds the key; set by the node.
};
} // namespace larkrack
