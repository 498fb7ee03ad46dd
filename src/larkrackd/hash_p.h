// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Hashes that are the same on all nodes: XXH64 with a seed, rendezvous hashing, points in [0, 1).
///
/// For: decisions that every node makes identically without communication, and that change for few keys when
/// a node joins or leaves. The hash values must not change, because nodes of different versions run side by
/// side during a deployment; tests/hash_test.cpp checks known values.
/// Owns: no state.
/// Relies on: xxhash, used header-only so that no library is linked.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace larkrack
{
/// @returns XXH64 of a text.
inline std::uint64_t hash64(std::string_view _text, std::uint64_t _seed = 0)
{
	return XXH64(_text.data(), _text.size(), _seed);
}

/// @returns Number in [0, 1) from the upper 53 bits of a hash, the precision of a double.
inline double point_of_hash(std::uint64_t _hash)
{
	constexpr double k_points = 9007199254740992.0; // 2^53
	return static_cast<double>(_hash >> 11U) / k_points;
}

/// @returns Rendezvous weight of a name for a key; the name with the highest weight is chosen for the key.
inline std::uint64_t rendezvous_weight(std::string_view _key, std::string_view _name)
{
	return hash64(_name, hash64(_key));
}

/// @returns The names with the highest weights for a key, highest first.
/// @param[in] _count Maximum number of names to return.
inline std::vector<std::string> rendezvous_first(
    std::string_view _key, std::vector<std::string> _names, std::size_t _count)
{
	std::sort(_names.begin(), _names.end(),
	    [_key](const std::string& _a, const std::string& _b)
	    {
		    return rendezvous_weight(_key, _b) < rendezvous_weight(_key, _a);
	    });
	_names.resize(std::min(_names.size(), _count));
	return _names;
}
} // namespace larkrack
