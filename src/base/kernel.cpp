// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "base/kernel_p.h"

namespace larkrack
{
void kernel::add(std::unique_ptr<service_base> _service)
{
	const std::string name = _service->name();
	m_by_name[name] = _service.get();
	for (auto& known : m_services)
	{
		if (known->name() == name)
		{
			known = std::move(_service);
			return;
		}
	}
	m_services.push_back(std::move(_service));
}

std::optional<error> kernel::init()
{
	for (m_running = 0; m_running < m_services.size(); ++m_running)
	{
		std::optional<error> failure = m_services[m_running]->init(*this);
		if (failure)
		{
			shutdown();
			return failure;
		}
	}
	return std::nullopt;
}

void kernel::shutdown()
{
	while (0 < m_running)
	{
		--m_running;
		m_services[m_running]->shutdown();
	}
}
} // namespace larkrack
