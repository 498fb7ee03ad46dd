// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The process larkrackd: its services in the order of their start, and its planned stop.
///
/// Decides: the steps of a planned stop: look-ups leave the entry VM out, responses close their connections,
/// owned backend servers are handed over, then the farewell is sent. A stop takes at most k_max_stop_time.
/// Owns: the control thread's I/O context and, through the kernel, all services.
/// Relies on: SIGINT or SIGTERM to begin the stop.
#pragma once

#include "base/kernel_p.h"
#include "base/settings_p.h"

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>

namespace larkrack
{
class control;
class traffic;

/// The process of one entry VM.
class node
{
public:
	explicit node(const settings& _settings);
	/// Serves until a planned stop has ended.
	/// @returns Exit code of the process.
	int run();

private:
	void add_services(const settings& _settings);
	void stop(const boost::asio::yield_context& _yield);

	boost::asio::io_context m_context{1};
	kernel m_kernel;
	control* m_control = nullptr;
	traffic* m_traffic = nullptr;
};
} // namespace larkrack
