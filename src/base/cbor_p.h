// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Reads CBOR that another process sent.
///
/// Owns: no state.
/// Relies on: nothing of larkrack.
#pragma once

#include <nlohmann/json.hpp>

namespace larkrack
{
/// @returns The document; a discarded one when the bytes are not exactly one valid CBOR item. The library
/// alone throws on a size that no container can have, even where it is told not to throw.
template <typename Iterator>
nlohmann::json parse_cbor(Iterator _begin, Iterator _end)
{
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
