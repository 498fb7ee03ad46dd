// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Affinity key: identifies requests that a backend server answers faster after it has handled similar ones.
///
/// Computes the key of a request and the key's position among all keys. Inputs: the caller's affinity cookie
/// and the path prefix of the route. The key is the hash of both, since a backend server that knows a key on
/// one route is no faster with it on another route. The position is a hash of the key in [0, 1), the same at
/// all nodes.
///
/// Relies on rendezvous_p.h for the hashes.
#pragma once

#include <cstdint>
#include <random>
#include <string_view>

namespace larkrack
{
/// Hash of an affinity key and its route.
struct affinity_key
{
	std::uint64_t hash = 0; ///< 0: the request has no key.

	bool any() const
	{
		return 0 != hash;
	}
};

/// @param[in] _cookie Value of the affinity cookie; empty: no key.
/// @param[in] _path_prefix Path prefix of the route.
affinity_key make_affinity_key(std::string_view _cookie, std::string_view _path_prefix);
/// @returns Position in [0, 1); a random position for a request without a key.
double affinity_position(affinity_key _key, std::minstd_rand& _random);
} // namespace larkrack
