// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Compression of bulk data that nodes send each other: deflate, by Boost.Beast. Registry entries of backend
/// servers differ only in ids, addresses and numbers and compress to between a sixth and an eighth of their
/// size. No state.
#pragma once

#include "larkrack/outcome.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace larkrack
{
/// @returns The bytes as one complete deflate stream.
std::string deflate_bytes(const std::vector<std::uint8_t>& _bytes);
/// @param[in] _max_bytes Maximum size of the result. A larger result is treated as an attempt to exhaust this
/// node's memory and refused.
/// @returns The decompressed bytes, or the error "bad_bytes".
result<std::vector<std::uint8_t>> inflate_bytes(std::string_view _packed, std::size_t _max_bytes);
} // namespace larkrack
