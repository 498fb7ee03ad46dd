// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Service registry: starts the services of a program in order, stops them in reverse order, and lets them
/// find each other by name.
///
/// A program (larkrackd, or a test fixture) is a list of services; tests replace a service by a fake of the
/// same name.
/// Owns: all services of a program, until the program ends.
/// Relies on: the order in which services are added: service_base::init() may only use services that were
/// added earlier.
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

/// Interface of a service.
class service_base
{
public:
	service_base() = default;
	service_base(const service_base&) = delete;
	service_base& operator=(const service_base&) = delete;
	virtual ~service_base() = default;

	/// @returns Name under which kernel::find() returns the service.
	virtual const char* name() const = 0;
	/// Starts the service. Services that were added earlier are already running.
	/// @param[in] _kernel Registry to find other services in.
	/// @returns An error when the program cannot start because of this service.
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

/// Registry that owns all services of a program.
class kernel
{
public:
	/// Adds a service. An earlier service of the same name is replaced and the new one takes its position in
	/// the order.
	void add(std::unique_ptr<service_base> _service);
	/// Starts all services in the order in which they were added.
	/// @returns The error of the first service that failed; the services started before it have been stopped.
	std::optional<error> init();
	/// Stops all running services in reverse order.
	void shutdown();

	/// @returns The service with this name and type, or null.
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
