// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Micro-kernel: services that find each other by name, started in order and stopped in reverse order.
///
/// For: a program is a list of services (node, fixtures of tests), and each part can be replaced by a
/// stand-in of the same name.
/// Owns: all services of a program, until its end.
/// Relies on: the order of adding: a service finds in init only what was added before it.
#pragma once

#include "larkrack/outcome.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace larkrack
{
class kernel;

/// Part of a program that others find by its name.
class service_base
{
public:
	service_base() = default;
	service_base(const service_base&) = delete;
	service_base& operator=(const service_base&) = delete;
	virtual ~service_base() = default;

	/// @returns Name under which others find the service.
	virtual const char* name() const = 0;
	/// Starts the service. Services that were added earlier are running.
	/// @param[in] _kernel Where to find others.
	/// @returns An error when the program can not go on without it.
	virtual std::optional<error> init(kernel& _kernel)
	{
		(void)_kernel;
		return std::nullopt;
	}
	/// Stops the service. Services that were added earlier are still running.
	virtual void shutdown()
	{
	}
};

/// Owner of all services of a program.
class kernel
{
public:
	/// Adds a service; a service of the same name that was added before is replaced in its place.
	void add(std::unique_ptr<service_base> _service);
	/// Starts all services in the order of their adding.
	/// @returns The error of the first that failed; those before it have been stopped again.
	std::optional<error> init();
	/// Stops all running services in reverse order.
	void shutdown();

	/// @returns The service of that name and type, or null.
	template <typename T>
	T* find(const std::string& _name) const
	{
		const auto it = m_by_name.find(_name);
		return m_by_name.end() == it ? nullptr : dynamic_cast<T*>(it->second);
	}

private:
	std::vector<std::unique_ptr<service_base>> m_services;
	std::map<std::string, service_base*> m_by_name;
	std::size_t m_running = 0;
};
} // namespace larkrack
