// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Reads CBOR that another process sent, and splits off a long byte string at the end of a message, so that
/// it need not be copied.
///
/// Owns: no state.
/// Relies on: nothing of larkrack.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace larkrack
{
/// Place of a byte string in a message.
struct cbor_bytes_place
{
	std::size_t head = 0; ///< Of its type and length.
	std::size_t data = 0;
};

/// Finds the byte string that ends a message, in the last field of its array or of arrays within.
/// @returns Nothing when the message ends otherwise, is malformed, or has items of unstated length.
std::optional<cbor_bytes_place> last_cbor_bytes(std::string_view _message);

/// @param[in] _message Ends with an empty byte string, which is replaced.
/// @returns The message up to the data of a byte string of that size.
std::string with_cbor_bytes_head(std::string _message, std::size_t _size);

/// Maximum depth of containers within containers that is read. The library calls itself for each of them, so
/// a message of many bytes could use up the stack.
constexpr std::size_t k_max_cbor_depth = 32;

/// @returns Whether no item of a message lies deeper than k_max_cbor_depth. Says nothing of what is
/// malformed.
bool has_bounded_depth(std::string_view _message);

/// @returns The document; a discarded one when the bytes are not exactly one valid CBOR item of bounded
/// depth. The library alone throws on a size that no container can have, even where it is told not to throw.
template <typename Iterator>
nlohmann::json parse_cbor(Iterator _begin, Iterator _end)
{
	const auto size = static_cast<std::size_t>(_end - _begin);
	if (0 == size || !has_bounded_depth({reinterpret_cast<const char*>(&*_begin), size}))
	{
		return nlohmann::json(nlohmann::json::value_t::discarded);
	}
	try
	{
		return nlohmann::json::from_cbor(_begin, _end, true, false);
	}
	catch (const nlohmann::json::exception&)
	{
		return nlohmann::json(nlohmann::json::value_t::discarded);
	}
}
} // namespace larkrack
