// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Request fingerprint: what stays the same when a caller's request comes again under another id.
///
/// Inputs: method, host, target and body of the request; who sends it. All nodes compute the same figures.
///
/// Relies on: XXH64. It is no cryptographic hash: whoever may send requests may also make two that look
/// alike here, and harms only his own by it, since the caller is part of what is compared.
#pragma once

#include <cstdint>
#include <string_view>
#include <tuple>

namespace larkrack
{
/// Caller that stands for all callers.
constexpr std::uint32_t k_any_caller = 0;

/// A request, whatever its id.
struct request_fingerprint
{
	std::uint64_t head = 0;              ///< Hash of method, host and target.
	std::uint64_t content = 0;           ///< Hash of the head and of the body; without a body, the head's.
	std::uint32_t caller = k_any_caller; ///< Hash of who sends it.

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
/// @returns Hash of a request with that head; takes a pass through the body.
std::uint64_t request_content_hash(std::uint64_t _head, std::string_view _body);
/// @param[in] _name Name of a customer, or bytes of an address.
std::uint64_t request_sender_hash(std::string_view _name);
/// @param[in] _sender Hash of the customer, or of the address where there is none.
/// @param[in] _key Hash of the request's affinity key; 0: none.
/// @returns Hash of a caller; never k_any_caller.
std::uint32_t request_caller_hash(std::uint64_t _sender, std::uint64_t _key);
} // namespace larkrack
