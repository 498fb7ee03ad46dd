// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Helpers for several test fixtures: running an I/O context until a condition holds, and a small
/// configuration.
/// Owns: no state.
/// Relies on: the configuration format of larkrackd.
#pragma once

#include "base/http_p.h"
#include "larkrackd/policy_p.h"
#include "testing/clock_virtual_p.h"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace larkrack
{
/// Runs handlers of an I/O context until a condition holds. Independent of elapsed time, so there is no
/// timeout.
template <typename Predicate>
void run_until(asio::io_context& _context, Predicate _condition)
{
	while (!_condition())
	{
		_context.run_one();
	}
}

/// Adds a resource to a configuration.
inline void put(config_state& _state, const std::string& _key, const nlohmann::json& _spec)
{
	_state.resources[_key] = {_spec.dump(), _state.rev, "test"};
}

/// @returns A configuration of three regions with one failure domain and one entry VM each, and one service
/// with a backend server in each region.
inline config_state small_configuration(std::uint64_t _revision = 1)
{
	config_state state;
	state.rev = {_revision};
	int port = 1000;
	for (const std::string name : {"east", "north", "west"})
	{
		put(state, "region/" + name, nlohmann::json::object());
		put(state, "domain/" + name + "-a", {{"region", name}});
		put(state, "site/" + name + "-a", {{"domain", name + "-a"}});
		const auto address = [&]
		{
			return "127.0.0.1:" + std::to_string(++port);
		};
		put(state, "entry_vm/" + name + "-1",
		    {{"domain", name + "-a"}, {"callers", address()}, {"relay", address()}, {"peers", address()}});
		put(state, "backend_server/shop-" + name,
		    {{"service", "shop"}, {"domain", name + "-a"}, {"address", address()}, {"slots", 3}});
	}
	put(state, "service/shop", nlohmann::json::object());
	put(state, "steering/shop",
	    {{"shares", {{"east", 0.4}, {"north", 0.3}, {"west", 0.3}}}, {"cap", 0.1}, {"window_s", 10}});
	put(state, "client_blocks/all", {{"blocks", {{"10.1.0.0/16", "east-a"}, {"10.2.0.0/16", "north-a"}}}});
	return state;
}
} // namespace larkrack
