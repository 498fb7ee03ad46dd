// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Hashes that nodes agree on: XXH64 with a seed, rendezvous hashing, points in [0, 1).
///
/// For: a decision that every node makes alike without asking, and that changes for few keys when a node
/// joins or leaves. Values must stay as they are: nodes of different versions run side by side during a
/// deployment (tests/hash_test.cpp holds some).
/// Owns: no state.
/// Relies on: xxhash, compiled in so that no library is needed.
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

/// @returns Number in [0, 1) from the upper 53 bits of a hash, as many as a double holds evenly.
inline double point_of_hash(std::uint64_t _hash)
{
	constexpr double k_points = 9007199254740992.0; // 2^53
	return static_cast<double>(_hash >> 11U) / k_points;
}

/// @returns Weight of a name for a key; for each key the name with the highest weight is chosen.
inline std::uint64_t rendezvous_weight(std::string_view _key, std::string_view _name)
{
	return hash64(_name, hash64(_key));
}

/// @returns The names with the highest weights for a key, highest first.
/// @param[in] _count How many, at most.
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
