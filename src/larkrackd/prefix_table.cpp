// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/prefix_table_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Number of upper bits of an IPv4 address that the index covers. More shortens the binary search and needs
/// 4 << bits bytes (256 KB at 16).
constexpr std::size_t k_index_bits = 16;
constexpr std::size_t k_index_size = (std::size_t{1} << k_index_bits) + 1;

/// Range of addresses from `first` up to the next range.
struct flat_range
{
	wide_address first;
	site_handle site;
};

wide_address last_address(const client_block& _block)
{
	wide_address last = _block.first;
	const unsigned total = _block.v6 ? 128 : 32;
	const unsigned host = total - _block.bits;
	if (64 <= host)
	{
		last.low = UINT64_MAX;
		const unsigned upper = host - 64;
		last.high |= 64 == upper ? UINT64_MAX : (std::uint64_t{1} << upper) - 1;
		return last;
	}
	last.low |= (std::uint64_t{1} << host) - 1;
	return last;
}

wide_address next_address(wide_address _address)
{
	++_address.low;
	if (0 == _address.low)
	{
		++_address.high;
	}
	return _address;
}

bool is_enclosing_first(const client_block& _a, const client_block& _b)
{
	if (_a.first == _b.first)
	{
		return _a.bits < _b.bits;
	}
	return _a.first < _b.first;
}

/// Converts nested blocks to disjoint ranges: sorts the blocks and keeps a stack of the blocks that contain
/// the current address.
class flattener
{
public:
	std::vector<flat_range> flatten(std::vector<client_block>& _blocks)
	{
		std::stable_sort(_blocks.begin(), _blocks.end(), is_enclosing_first);
		emit({}, site_handle{});
		for (const client_block& block : _blocks)
		{
			close_ended_before(block.first);
			emit(block.first, block.site);
			m_open.push_back(block);
		}
		while (!m_open.empty())
		{
			close_last();
		}
		return std::move(m_ranges);
	}

private:
	void emit(const wide_address& _first, site_handle _site)
	{
		if (!m_ranges.empty() && m_ranges.back().first == _first)
		{
			m_ranges.back().site = _site;
			return;
		}
		if (m_ranges.empty() || m_ranges.back().site != _site)
		{
			m_ranges.push_back({_first, _site});
		}
	}
	void close_ended_before(const wide_address& _first)
	{
		while (!m_open.empty() && last_address(m_open.back()) < _first)
		{
			close_last();
		}
	}
	void close_last()
	{
		const wide_address last = last_address(m_open.back());
		m_open.pop_back();
		const wide_address next = next_address(last);
		if (next < last)
		{
			return;
		}
		emit(next, m_open.empty() ? site_handle{} : m_open.back().site);
	}

	std::vector<client_block> m_open;
	std::vector<flat_range> m_ranges;
};
} // namespace

wide_address to_wide_address(const boost::asio::ip::address& _address)
{
	if (_address.is_v4())
	{
		return {0, _address.to_v4().to_uint()};
	}
	const auto bytes = _address.to_v6().to_bytes();
	wide_address wide;
	for (std::size_t at = 0; at < 8; ++at)
	{
		wide.high = (wide.high << 8) | bytes[at];
		wide.low = (wide.low << 8) | bytes[at + 8];
	}
	return wide;
}

result<client_block> parse_block(const std::string& _text)
{
	const error invalid{"bad_block", _text + " is not a prefix of the form address/bits"};
	const std::size_t slash = _text.find('/');
	if (std::string::npos == slash || slash + 1 == _text.size() || slash + 4 < _text.size())
	{
		return invalid;
	}
	const std::string digits = _text.substr(slash + 1);
	if (std::string::npos != digits.find_first_not_of("0123456789"))
	{
		return invalid;
	}
	boost::system::error_code failure;
	const auto address = boost::asio::ip::make_address(_text.substr(0, slash), failure);
	const int bits = std::stoi(digits);
	if (failure || (address.is_v4() ? 32 : 128) < bits)
	{
		return invalid;
	}
	client_block block;
	block.v6 = address.is_v6();
	block.bits = static_cast<std::uint8_t>(bits);
	block.first = to_wide_address(address);
	wide_address host_part = last_address({{}, block.bits, block.v6, {}});
	block.first.high &= ~host_part.high;
	block.first.low &= ~host_part.low;
	return block;
}

prefix_table::prefix_table(std::vector<client_block> _blocks) : m_blocks(_blocks.size())
{
	const auto middle = std::stable_partition(_blocks.begin(), _blocks.end(),
	    [](const client_block& _block)
	    {
		    return !_block.v6;
	    });
	std::vector<client_block> v6(middle, _blocks.end());
	_blocks.erase(middle, _blocks.end());
	build_v4(_blocks);
	build_v6(v6);
}

void prefix_table::build_v4(std::vector<client_block>& _blocks)
{
	for (const flat_range& range : flattener().flatten(_blocks))
	{
		if (0 == (range.first.low >> 32))
		{
			m_v4_first.push_back(static_cast<std::uint32_t>(range.first.low));
			m_v4_site.push_back(range.site);
		}
	}
	m_v4_first.shrink_to_fit();
	m_v4_site.shrink_to_fit();
	m_v4_index.resize(k_index_size);
	std::size_t at = 0;
	for (std::size_t upper = 0; upper < k_index_size; ++upper)
	{
		while (at < m_v4_first.size() && (m_v4_first[at] >> k_index_bits) < upper)
		{
			++at;
		}
		m_v4_index[upper] = static_cast<std::uint32_t>(at);
	}
}

void prefix_table::build_v6(std::vector<client_block>& _blocks)
{
	for (const flat_range& range : flattener().flatten(_blocks))
	{
		m_v6_first.push_back(range.first);
		m_v6_site.push_back(range.site);
	}
	m_v6_first.shrink_to_fit();
	m_v6_site.shrink_to_fit();
}

site_handle prefix_table::find(const boost::asio::ip::address& _address) const
{
	if (0 == m_blocks)
	{
		return {};
	}
	const wide_address wide = to_wide_address(_address);
	if (_address.is_v6())
	{
		const auto it = std::upper_bound(m_v6_first.begin(), m_v6_first.end(), wide);
		return m_v6_site[static_cast<std::size_t>(it - m_v6_first.begin()) - 1];
	}
	const auto number = static_cast<std::uint32_t>(wide.low);
	const std::uint32_t upper = number >> k_index_bits;
	const auto first = m_v4_first.begin() + m_v4_index[upper];
	const auto last = m_v4_first.begin() + m_v4_index[upper + 1];
	const auto it = std::upper_bound(first, last, number);
	return m_v4_site[static_cast<std::size_t>(it - m_v4_first.begin()) - 1];
}
} // namespace larkrack
