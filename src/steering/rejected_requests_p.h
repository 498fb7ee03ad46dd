// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Requests whose rejection one connection has brought. All attempts for a request carry its id, so that on
/// one connection a rejection that comes twice can't be told from the rejection of the next attempt. A
/// connection therefore carries no further attempt for a request whose rejection it has brought: an answer
/// with the id of a request then belongs to the only attempt that this connection carries for it.
///
/// Inputs: ids and deadlines of the requests that were rejected. An entry lasts until the deadline, after
/// which no attempt follows.
///
/// Owns its entries. Relies on its owner to ask it before each attempt, and to discard a connection whose
/// record is full.
#pragma once

#include "base/clock_p.h"

#include <string_view>
#include <vector>

namespace larkrack
{
/// Rejections that one connection remembers. More: memory for each connection. Fewer: new connections to a
/// backend server that rejects much.
constexpr std::size_t k_max_rejected_requests = 64;

/// Rejected requests of one connection.
class rejected_requests
{
public:
	/// @param[in] _until Deadline of the request.
	void add(std::string_view _request_id, steady_time _until, steady_time _now);
	/// @returns Whether the connection may carry an attempt for a request.
	bool permits(std::string_view _request_id) const;
	/// @returns Whether the connection can not remember a further rejection.
	bool is_full() const
	{
		return m_entries.size() >= k_max_rejected_requests;
	}

private:
	struct entry
	{
		std::uint64_t id_hash = 0;
		steady_time until{};
	};
	std::vector<entry> m_entries;
};
} // namespace larkrack
