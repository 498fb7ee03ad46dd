// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Names of the HTTP headers that callers, nodes and backend servers exchange. A platform may use other
/// names.
#pragma once

#include <string>

namespace larkrack
{
/// Header names, with their defaults. Set once, at the start of the node.
struct header_names
{
	std::string request_id = "Larkrack-Request-Id";  ///< Repeated in the response.
	std::string timeout_ms = "Larkrack-Deadline-Ms"; ///< Time left until the deadline, milliseconds.
	std::string target_id = "Larkrack-Backend";      ///< Only this backend server may run the request.
	std::string not_run = "Larkrack-Shed";           ///< The backend server did not run the request.
	std::string load = "Larkrack-Load";              ///< "running,waiting,slots" of the backend server.
	std::string limit = "Larkrack-Limit";     ///< Requests per second accepted from all nodes together.
	std::string leaving = "Larkrack-Leaving"; ///< The backend server is about to shut down.
	std::string affinity_cookie = "Larkrack-Affinity"; ///< Cookie with the affinity key.
	/// Each response of the server that ran the request has this header.
	std::string signature = "Larkrack-Signature";
	std::string api_key = "Larkrack-Api-Key";   ///< API key of the caller; never passed on.
	std::string customer = "Larkrack-Customer"; ///< Customer that holds the key; set by the node.
};
} // namespace larkrack
