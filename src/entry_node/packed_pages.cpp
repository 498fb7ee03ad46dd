// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/packed_pages_p.h"

#include "entry_node/deflate_p.h"
#include "entry_node/store_changes_codec_p.h"
#include "steering/state_copy_p.h"

#include <boost/algorithm/hex.hpp>

#include <iterator>

namespace larkrack
{
namespace
{
/// Number of revisions by which a cached page may lag behind the keys; a node that takes the page requests
/// the changes since its revision afterwards. Higher: more changes to request. Lower: pages are compressed
/// again and again while entries change.
constexpr std::int64_t k_max_page_lag = 2000;
/// Seconds after the last request for which pages stay cached (some 0.4 MB for 10,000 backend servers).
constexpr std::chrono::seconds k_page_lifetime{2};
/// Maximum number of cached responses: nodes that request changes lag by one batch or a few. Higher: more
/// memory.
constexpr std::size_t k_max_cached_responses = 8;
} // namespace

const std::string& packed_page_cache::get(
    const std::string& _after, const state_replica& _replica, steady_time _now)
{
	m_requested_at = _now;
	if (_replica.revision() - m_revision > k_max_page_lag)
	{
		m_pages.clear();
	}
	if (m_pages.empty())
	{
		m_revision = _replica.revision();
	}
	const auto known = m_pages.find(_after);
	if (m_pages.end() != known)
	{
		return known->second;
	}
	return m_pages[_after] = deflate_bytes(encode(_replica.page_after(_after, k_page_bytes)));
}

void packed_page_cache::tick(steady_time _now)
{
	if (!m_pages.empty() && _now - m_requested_at > k_page_lifetime)
	{
		m_pages.clear();
	}
}

const std::string& packed_change_cache::get(
    const std::string& _query, std::int64_t _revision, const response_factory& _make)
{
	if (m_revision != _revision || m_responses.size() >= k_max_cached_responses)
	{
		m_responses.clear();
	}
	m_revision = _revision;
	const auto known = m_responses.find(_query);
	return m_responses.end() != known ? known->second : m_responses[_query] = _make();
}

std::string hex_of(std::string_view _text)
{
	std::string hex;
	boost::algorithm::hex_lower(_text.begin(), _text.end(), std::back_inserter(hex));
	return hex;
}

std::optional<std::string> text_of_hex(std::string_view _hex)
{
	std::string text;
	try
	{
		boost::algorithm::unhex(_hex.begin(), _hex.end(), std::back_inserter(text));
	}
	catch (const boost::algorithm::hex_decode_error&)
	{
		return std::nullopt;
	}
	return text;
}
} // namespace larkrack
