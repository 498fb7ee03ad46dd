// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Bodies whose every byte tells whose they are, so that callers notice bytes of another answer.
/// Owns: one period of the text. Relies on: xxhash, the same on both sides.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace larkrack
{
/// Endless text that differs for each name.
class body_pattern
{
public:
	explicit body_pattern(const std::string& _name);
	/// Writes bytes from an offset on.
	void fill(char* _out, std::size_t _size, std::uint64_t _offset) const;
	/// @returns Whether bytes at an offset are these.
	bool matches(const char* _data, std::size_t _size, std::uint64_t _offset) const;

private:
	std::string m_block;
};
} // namespace larkrack
