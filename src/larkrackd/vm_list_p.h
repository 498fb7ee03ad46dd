// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The platform's list of VMs, of which the names of those that are gone for good matter here: their backend
/// servers may be taken over. Owns the last list read; relies on the platform's HTTP service. While it does
/// not answer the last list stays, so that nobody is taken for gone by mistake.
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
	/// Asks the platform.
	/// @returns Whether other entry VMs than before are gone.
	bool poll(const yield_context& _yield);
	/// @returns Entry VMs that the platform's list says are gone.
	const std::set<std::string>& gone() const
	{
		return m_gone;
	}
	/// @returns Calls since the start.
	std::uint64_t polls() const
	{
		return m_polls;
	}

private:
	bool take(const nlohmann::json& _list);

	endpoint m_platform;
	http_caller m_caller;
	std::set<std::string> m_gone;
	std::uint64_t m_polls = 0;
};
} // namespace larkrack
