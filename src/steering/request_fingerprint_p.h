// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Request fingerprint: identifies a caller's request that is sent again under another id.
///
/// Inputs: method, host, target and body of the request, and its sender. All nodes compute the same hashes.
///
/// Relies on XXH64, which is not a cryptographic hash: anybody who may send requests can construct two that
/// collide here, but affects only their own requests, since the caller is part of the fingerprint.
#pragma once

#include <cstdint>
#include <string_view>
#include <tuple>

namespace larkrack
{
/// Value of request_fingerprint::caller that stands for all callers.
constexpr std::uint32_t k_any_caller = 0;

/// Hashes of a request that do not depend on its id.
struct request_fingerprint
{
	std::uint64_t head = 0;    ///< Hash of method, host and target.
	std::uint64_t content = 0; ///< Hash of head and body; equal to head for a request without a body.
	std::uint32_t caller = k_any_caller; ///< Hash of the sender.

	friend bool operator==(const request_fingerprint& _a, const request_fingerprint& _b)
	{
		return _a.content == _b.content && _a.caller == _b.caller;
	}
	friend bool operator<(const request_fingerprint& _a, const request_fingerprint& _b)
	{
		return std::tie(_a.content, _a.caller) < std::tie(_b.content, _b.caller);
	}
};

/// @returns Hash of a request's head.
std::uint64_t request_head_hash(std::string_view _method, std::string_view _host, std::string_view _target);
/// @returns Hash of a request with this head; reads the whole body.
std::uint64_t request_content_hash(std::uint64_t _head, std::string_view _body);
/// @param[in] _name Name of a customer, or bytes of an address.
std::uint64_t request_sender_hash(std::string_view _name);
/// @param[in] _sender Hash of the customer, or of the address for a request without a customer.
/// @param[in] _key Hash of the request's affinity key; 0: none.
/// @returns Hash of a caller; never k_any_caller.
std::uint32_t request_caller_hash(std::uint64_t _sender, std::uint64_t _key);
} // namespace larkrack
