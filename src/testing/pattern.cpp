// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "testing/pattern_p.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace larkrack
{
namespace
{
/// Length of the period in 64-bit words. It is prime, so that a lost part whose size is a power of two or a
/// round number shifts the pattern and is detected.
constexpr std::size_t k_words = 509;
} // namespace

body_pattern::body_pattern(const std::string& _name)
{
	m_block.reserve(k_words * sizeof(std::uint64_t));
	for (std::size_t at = 0; at < k_words; ++at)
	{
		const std::uint64_t word = XXH64(_name.data(), _name.size(), at);
		m_block.append(reinterpret_cast<const char*>(&word), sizeof(word));
	}
}

void body_pattern::fill(char* _out, std::size_t _size, std::uint64_t _offset) const
{
	while (0 < _size)
	{
		const std::size_t at = _offset % m_block.size();
		const std::size_t part = std::min(_size, m_block.size() - at);
		std::memcpy(_out, m_block.data() + at, part);
		_out += part;
		_offset += part;
		_size -= part;
	}
}

bool body_pattern::matches(const char* _data, std::size_t _size, std::uint64_t _offset) const
{
	while (0 < _size)
	{
		const std::size_t at = _offset % m_block.size();
		const std::size_t part = std::min(_size, m_block.size() - at);
		if (0 != std::memcmp(_data, m_block.data() + at, part))
		{
			return false;
		}
		_data += part;
		_offset += part;
		_size -= part;
	}
	return true;
}
} // namespace larkrack
