// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Generated response bodies that differ for each name, so that callers detect bytes of another response.
/// Owns: one period of the pattern.
/// Relies on: xxhash, with the same result for backend server and caller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace larkrack
{
/// Unlimited sequence of bytes, determined by a name.
class body_pattern
{
public:
	explicit body_pattern(const std::string& _name);
	/// Writes the bytes of the pattern that start at an offset.
	void fill(char* _out, std::size_t _size, std::uint64_t _offset) const;
	/// @returns Whether the data equals the pattern at an offset.
	bool matches(const char* _data, std::size_t _size, std::uint64_t _offset) const;

private:
	std::string m_block;
};
} // namespace larkrack
