// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Longest-prefix match from client addresses to sites.
///
/// Decides: the site of a caller, from which policy derives the caller's home region.
/// Owns: sorted, disjoint, immutable address ranges; IPv4 has an index by the upper 16 bits. The table is
/// rebuilt when a block changes, and shared by all threads.
/// Relies on: policy to check that blocks name declared sites.
/// Units: prefix lengths in bits. Bytes per block and nanoseconds per look-up for 10,000 to 1.1 million
/// blocks: docs/CAPACITY.md (Measured slopes).
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
/// IP address as a 128-bit number; IPv4 addresses are in the low 32 bits of `low`.
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

/// A CIDR block of client addresses and its site.
struct client_block
{
	wide_address first;    ///< First address of the block.
	std::uint8_t bits = 0; ///< Prefix length, 0 to 32 (IPv4) or 0 to 128 (IPv6).
	bool v6 = false;
	site_handle site;
};

/// Parses a block of the form "address/bits"; bits of the address beyond the prefix are cleared.
/// @returns The block, with an invalid site, or an error.
result<client_block> parse_block(const std::string& _text);
/// @returns The address as a number.
wide_address to_wide_address(const boost::asio::ip::address& _address);

/// Immutable table. Its constructor flattens nested blocks to disjoint ranges.
class prefix_table
{
public:
	prefix_table() = default;
	/// @param[in] _blocks Blocks in any order; the last of several equal blocks takes effect.
	explicit prefix_table(std::vector<client_block> _blocks);

	/// @returns Site of the block with the longest prefix that contains the address; invalid when there is
	/// none.
	site_handle find(const boost::asio::ip::address& _address) const;
	/// @returns Number of blocks that the table was built from.
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
	std::vector<std::uint32_t> m_v4_index; ///< By upper 16 bits: first range at or above.
	std::vector<wide_address> m_v6_first;
	std::vector<site_handle> m_v6_site;
};
} // namespace larkrack
