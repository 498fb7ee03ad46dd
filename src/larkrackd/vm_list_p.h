// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The platform's list of VMs. Only the names of VMs that are gone for good are kept: their backend servers
/// may be taken over.
///
/// Owns: the names from the last list read.
/// Relies on: the platform's HTTP service. While the service does not answer, the last list stays, so that no
/// VM is considered gone by mistake.
#pragma once

#include "base/http_p.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>

namespace larkrack
{
/// Control thread only.
class vm_list
{
public:
	vm_list(asio::io_context& _context, endpoint _platform)
	    : m_platform(std::move(_platform)), m_caller(_context.get_executor())
	{
	}
	/// Reads the list from the platform.
	/// @returns Whether the set of entry VMs that are gone has changed.
	bool poll(const yield_context& _yield);
	/// @returns Entry VMs that are gone by the platform's list.
	const std::set<std::string>& gone() const
	{
		return m_gone;
	}
	/// @returns Number of calls since the start.
	std::uint64_t polls() const
	{
		return m_polls;
	}

private:
	bool update_gone(const nlohmann::json& _list);

	endpoint m_platform;
	http_caller m_caller;
	std::set<std::string> m_gone;
	std::uint64_t m_polls = 0;
};
} // namespace larkrack
