// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/affinity_key_p.h"

#include "steering/rendezvous_p.h"

namespace larkrack
{
namespace
{
/// Hash seed for path prefixes; differs from the position seed. All nodes must use the same value.
constexpr std::uint64_t k_prefix_seed = 1;
/// Hash seed for positions. All nodes must use the same value.
constexpr std::uint64_t k_position_seed = 2;
} // namespace

affinity_key make_affinity_key(std::string_view _cookie, std::string_view _path_prefix)
{
	if (_cookie.empty())
	{
		return {};
	}
	return {rendezvous_weight(_cookie, rendezvous_weight(_path_prefix, k_prefix_seed))};
}

double affinity_position(affinity_key _key, std::minstd_rand& _random)
{
	if (!_key.any())
	{
		return std::uniform_real_distribution<double>(0.0, 1.0)(_random);
	}
	const std::string_view bytes(reinterpret_cast<const char*>(&_key.hash), sizeof(_key.hash));
	return unit_interval(rendezvous_weight(bytes, k_position_seed));
}
} // namespace larkrack
