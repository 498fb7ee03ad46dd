// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Caches of compressed responses to other nodes: pages of a full copy of the keys, and changes. When 110
/// nodes of a failure domain start together, a node that serves pages compresses each page once and not once
/// for each node that requests it (15 ms of a core for 256 KB).
///
/// Owns the cached responses. Relies on state_replica for the keys, and on entry_node to call tick().
#pragma once

#include "base/clock_p.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace larkrack
{
class state_replica;

/// Cache of compressed pages, all of about the same revision of the keys.
class packed_page_cache
{
public:
	/// @param[in] _after Last key before the page; empty: the first page.
	/// @returns The compressed page; valid until the next call.
	const std::string& get(const std::string& _after, const state_replica& _replica, steady_time _now);
	/// Drops the pages when no page was requested for a while.
	void tick(steady_time _now);

private:
	std::map<std::string, std::string> m_pages; ///< By the last key before the page.
	std::int64_t m_revision = 0;                ///< Revision of the oldest page in the cache.
	steady_time m_requested_at{};
};

/// Cache of compressed responses to nodes that request changes. After an announcement a third of a region
/// requests the same changes: compressing them for each of 110 nodes, when 89 backend servers leave, would
/// take seconds on a node with a tenth of a core (computed: 5 ms of a core each).
class packed_change_cache
{
public:
	using response_factory = std::function<std::string()>;

	/// @param[in] _query Revisions that the requesting node has: all that the response depends on besides
	/// the keys themselves.
	/// @param[in] _revision Revision of the keys; a new revision invalidates all cached responses.
	/// @param[in] _make Produces the response on a cache miss.
	/// @returns The response; valid until the next call.
	const std::string& get(const std::string& _query, std::int64_t _revision, const response_factory& _make);

private:
	std::map<std::string, std::string> m_responses; ///< By query.
	std::int64_t m_revision = 0;
};

/// @returns The text as two hexadecimal digits per byte, for a query parameter.
std::string hex_of(std::string_view _text);
/// @returns The decoded text, or nothing when the input is not hexadecimal.
std::optional<std::string> text_of_hex(std::string_view _hex);
} // namespace larkrack
