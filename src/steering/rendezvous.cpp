// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/rendezvous_p.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace larkrack
{
std::uint64_t rendezvous_weight(std::string_view _candidate, std::uint64_t _item)
{
	return XXH64(_candidate.data(), _candidate.size(), _item);
}

double unit_interval(std::uint64_t _hash)
{
	return static_cast<double>(_hash >> 11U) / static_cast<double>(1ULL << 53U);
}

std::uint32_t short_hash(std::string_view _id)
{
	return XXH32(_id.data(), _id.size(), 0);
}
} // namespace larkrack
