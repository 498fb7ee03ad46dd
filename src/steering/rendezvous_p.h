// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Hash functions that all nodes agree on: rendezvous hashing, and positions of keys.
///
/// In rendezvous hashing each candidate has a weight for each item; the candidate with the highest weight
/// owns the item. All nodes compute the same weights without exchanging messages, and when a candidate joins
/// or leaves, only the items that it gets or had move.
#pragma once

#include <cstdint>
#include <string_view>

namespace larkrack
{
/// Weight of a candidate (XXH64 of its name).
/// @param[in] _item Hash of the item, used as the seed. 0 where there is only one item.
std::uint64_t rendezvous_weight(std::string_view _candidate, std::uint64_t _item);
/// @returns The hash mapped to [0, 1), by its upper 53 bits.
double unit_interval(std::uint64_t _hash);
/// @returns Hash that stands for the id of a backend server in heartbeats, or for the name of a node (XXH32,
/// seed 0).
std::uint32_t short_hash(std::string_view _id);
} // namespace larkrack
