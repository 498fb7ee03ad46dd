// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Longest-prefix match from client addresses to sites.
///
/// Decides: the site of a caller, from which policy takes its home region.
/// Owns: flat, immutable, sorted ranges; IPv4 has an index by the upper 16 bits. Built anew when a block
/// changed, and shared by all threads.
/// Relies on: nothing; policy checks that blocks name declared sites.
/// Units: prefix lengths in bits. Bytes a block and nanoseconds a look-up for 10,000 to 1.1 million blocks:
/// docs/CAPACITY.md (Measured slopes).
#pragma once

#include "larkrack/ids.h"
#include "larkrack/outcome.h"

#include <boost/asio/ip/address.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace larkrack
{
/// Address as one number; IPv4 addresses stand in the low 32 bits of `low`.
struct wide_address
{
	std::uint64_t high = 0;
	std::uint64_t low = 0;

	friend bool operator<(const wide_address& _a, const wide_address& _b)
	{
		return _a.high != _b.high ? _a.high < _b.high : _a.low < _b.low;
	}
	friend bool operator==(const wide_address& _a, const wide_address& _b)
	{
		return _a.high == _b.high && _a.low == _b.low;
	}
};

/// A block of client addresses and its site.
struct client_block
{
	wide_address first;
	std::uint8_t bits = 0; ///< Length of the prefix, 0 to 32 or 0 to 128.
	bool v6 = false;
	site_handle site;
};

/// @returns The block in "address/bits", with an invalid site, or an error.
result<client_block> parse_block(const std::string& _text);
/// @returns The address as one number.
wide_address widen(const boost::asio::ip::address& _address);

/// Immutable table. Nested blocks are flattened to ranges when it is built.
class prefix_table
{
public:
	prefix_table() = default;
	/// @param[in] _blocks Blocks in any order; of equal blocks the last one counts.
	explicit prefix_table(std::vector<client_block> _blocks);

	/// @returns Site of the longest block that holds the address; invalid when there is none.
	site_handle find(const boost::asio::ip::address& _address) const;
	/// @returns Number of blocks it was built from.
	std::size_t size() const
	{
		return m_blocks;
	}

private:
	void build_v4(std::vector<client_block>& _blocks);
	void build_v6(std::vector<client_block>& _blocks);

	std::size_t m_blocks = 0;
	std::vector<std::uint32_t> m_v4_first;
	std::vector<site_handle> m_v4_site;
	std::vector<std::uint32_t> m_v4_index; ///< First range of each value of the upper 16 bits.
	std::vector<wide_address> m_v6_first;
	std::vector<site_handle> m_v6_site;
};
} // namespace larkrack
