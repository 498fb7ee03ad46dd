// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/vm_list_p.h"

#include "larkrack/config.h"

#include "larkrackd/platform_keys_p.h"

namespace larkrack
{
bool vm_list::poll(const yield_context& _yield)
{
	++m_polls;
	result<http_response> called = m_caller.call(
	    m_platform, make_request(http::verb::get, "/vms", m_platform), k_platform_deadline, _yield);
	const http_response* response = value_of(called);
	if (nullptr == response || http::status::ok != response->result())
	{
		// No log line: the calls to the platform's store tell that the platform is down. The last list stays.
		return false;
	}
	return update_gone(object_from_text(response->body()).value("vms", nlohmann::json::array()));
}

bool vm_list::update_gone(const nlohmann::json& _list)
{
	std::set<std::string> gone;
	for (const nlohmann::json& vm : _list)
	{
		if ("gone" == vm.value("state", ""))
		{
			gone.insert(vm.value("name", ""));
		}
	}
	if (gone == m_gone)
	{
		return false;
	}
	m_gone = std::move(gone);
	return true;
}
} // namespace larkrack
