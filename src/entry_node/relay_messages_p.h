// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Messages between a node and its relay, as bodies of HTTP requests and responses at the listener for other
/// nodes: a request to forward with its result, and a query about paths with its report. CBOR arrays that
/// begin with their layout. No state.
///
/// A message of another layout is refused, so that a node of another version forwards nothing.
#pragma once

#include "entry_node/exchange_p.h"
#include "steering/relay_table_p.h"

#include "larkrack/outcome.h"

namespace larkrack
{
/// Target of a request to forward.
constexpr const char* k_relay_target = "/relay";
/// Target of a query about paths.
constexpr const char* k_paths_target = "/paths";
/// Content type of both responses. Nodes of an earlier version respond to both targets with another one.
constexpr const char* k_relay_content_type = "application/vnd.larkrack.relay+cbor";

/// Header with the number of an attempt. A relay gives it back, with the id of the request, in each response.
constexpr const char* k_attempt_header = "Larkrack-Attempt";

/// A request to forward.
struct relay_request
{
	backend_id backend;
	std::int64_t started_ms = 0; ///< Start time of the backend server's incarnation.
	upstream_request request;
};

/// Its result.
struct relay_result
{
	exchange_result result;
	/// Not sent: the relay could not connect to the backend server, or gives it no new requests because of
	/// failures.
	bool unreachable = false;
	std::chrono::microseconds taken{0}; ///< Time between request and result at the relay.
};

std::string encode(const relay_request& _message);
/// @returns The same without the body of the request, which follows at its end.
std::string encode_without_body(const relay_request& _message);
/// @returns An error when the message is malformed, or does not hold exactly one well-formed HTTP request
/// that states its id and the length of its body.
/// @param[in] _request_id_header Name of the header with the request's id.
result<relay_request> decode_relay_request(std::string _bytes, const std::string& _request_id_header);
std::string encode(relay_result _message);
result<relay_result> decode_relay_result(std::string _bytes);
/// @param[in] _domains Failure domains of backend servers that the report shall state.
std::string encode_path_query(const std::vector<domain_name>& _domains);
result<std::vector<domain_name>> decode_path_query(const std::string& _bytes);
std::string encode(const path_report& _report);
result<path_report> decode_path_report(const std::string& _bytes);
} // namespace larkrack
