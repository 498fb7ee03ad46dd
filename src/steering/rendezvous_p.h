// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Hashes on which all nodes agree: rendezvous hashing, and places of keys.
///
/// In rendezvous hashing each candidate has a weight for each thing that is placed; the candidate with the
/// highest weight gets it. All nodes compute the same weights without a word between them, and when a
/// candidate comes or goes, only the things that it gets or had move.
#pragma once

#include <cstdint>
#include <string_view>

namespace larkrack
{
/// Weight of a candidate (XXH64 of its name).
/// @param[in] _thing Hash of what is placed, the seed of the hash. 0 where there is only one thing.
std::uint64_t rendezvous_weight(std::string_view _candidate, std::uint64_t _thing);
/// @returns The hash as a number in [0, 1), by its upper 53 bits.
double unit_interval(std::uint64_t _hash);
/// @returns Hash that stands for the id of a backend server in heartbeats (XXH32, seed 0).
std::uint32_t short_hash(std::string_view _id);
} // namespace larkrack
