// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/request_fingerprint_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Seed of the method's hash. All nodes must use the same value; not a tuning value.
constexpr std::uint64_t k_method_seed = 4;
constexpr std::uint64_t k_sender_seed = 5; ///< Seed of the sender's hash; the same at all nodes.
/// Multiplier of the key's hash; the same at all nodes.
constexpr std::uint64_t k_key_factor = 0x9E3779B97F4A7C15ULL;
} // namespace

std::uint64_t request_head_hash(std::string_view _method, std::string_view _host, std::string_view _target)
{
	const std::uint64_t method = rendezvous_weight(_method, k_method_seed);
	const std::uint64_t host = rendezvous_weight(_host, method);
	return rendezvous_weight(_target, host);
}

std::uint64_t request_content_hash(std::uint64_t _head, std::string_view _body)
{
	return _body.empty() ? _head : rendezvous_weight(_body, _head);
}

std::uint64_t request_sender_hash(std::string_view _name)
{
	return rendezvous_weight(_name, k_sender_seed);
}

std::uint32_t request_caller_hash(std::uint64_t _sender, std::uint64_t _key)
{
	const auto caller = static_cast<std::uint32_t>((_sender ^ (_key * k_key_factor)) >> 32U);
	return std::max<std::uint32_t>(1, caller);
}
} // namespace larkrack
