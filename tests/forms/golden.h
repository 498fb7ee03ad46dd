// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Bytes as hexadecimal text, for tests that compare datagrams with recorded bytes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace larkrack
{
inline std::string to_hex(const std::vector<std::uint8_t>& _bytes)
{
	static const char* const s_digits = "0123456789abcdef";
	std::string text;
	for (const std::uint8_t byte : _bytes)
	{
		text += s_digits[byte >> 4U];
		text += s_digits[byte & 15U];
	}
	return text;
}

inline std::vector<std::uint8_t> from_hex(const std::string& _text)
{
	std::vector<std::uint8_t> bytes;
	for (std::size_t at = 0; at + 1 < _text.size(); at += 2)
	{
		bytes.push_back(static_cast<std::uint8_t>(std::stoul(_text.substr(at, 2), nullptr, 16)));
	}
	return bytes;
}
} // namespace larkrack
