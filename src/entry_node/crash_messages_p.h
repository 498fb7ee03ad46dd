// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Codec of the datagrams by which nodes tell each other of requests that end backend servers: CBOR, some 30
/// bytes each.
#pragma once

#include "steering/blocked_requests_p.h"

#include "larkrack/outcome.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace larkrack
{
/// To the nodes that count: a backend server ended under a request.
struct end_report
{
	request_fingerprint request;
	std::uint32_t life = 0;   ///< life_hash() of the backend server.
	bool caller_only = false; ///< See backend_end.
};

/// To the nodes that count: a request was served that was suspected.
struct served_report
{
	request_fingerprint request;
};

/// To all nodes: what is known of a request.
struct block_news
{
	request_block block;
	bool tells_on = false; ///< Whoever gets it tells the nodes of its region.
};

/// To the node that counts: may a blocked request be let through?
struct look_request
{
	request_fingerprint request;
	std::uint32_t versions = 0; ///< Hash of the versions that serve.
};

/// Answer to it.
struct look_answer
{
	request_fingerprint request;
	bool granted = false;
};

/// To the node that counts: the request that was let through reached no backend server.
struct look_returned
{
	request_fingerprint request;
};

using crash_message =
    std::variant<end_report, served_report, block_news, look_request, look_answer, look_returned>;

/// @returns The message as CBOR.
std::vector<std::uint8_t> encode(const crash_message& _message);
/// Told by the first byte, so that other datagrams cost nothing here.
/// @returns Whether bytes may be such a message.
bool is_crash_message(const std::uint8_t* _data, std::size_t _size);
/// @returns The message, or the error "bad_crash_message" when the bytes are none.
result<crash_message> decode_crash_message(const std::uint8_t* _data, std::size_t _size);
} // namespace larkrack
