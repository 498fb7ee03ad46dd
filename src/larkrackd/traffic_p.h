// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Traffic threads, each with its own listeners, connections and carrier.
///
/// For: serving requests without sharing connections between threads. State that must be exact (gate,
/// key_table) is shared under short locks; the control state is read from snapshots (traffic_view).
/// Owns: the threads, their I/O contexts and connections, and the retry token bucket that all threads share.
/// Relies on: node to call begin_stop, stop_accepting and shutdown in this order at a planned stop.
#pragma once

#include "larkrackd/carrier_p.h"

#include <memory>
#include <thread>
#include <vector>

namespace larkrack
{
/// Starts and stops the traffic threads.
class traffic : public service_base
{
public:
	const char* name() const override
	{
		return "traffic";
	}
	std::optional<error> init(kernel& _kernel) override;
	void shutdown() override;
	/// Closes connections of callers and entry VMs gracefully: each further response asks its client to
	/// close.
	void begin_stop();
	/// Stops accepting connections from callers and entry VMs.
	void stop_accepting();
	/// @returns Number of requests in flight in all threads.
	int in_flight() const;

private:
	/// One traffic thread.
	struct worker
	{
		worker(const kernel& _kernel, retry_token_bucket& _budget);
		asio::io_context context{1};
		carrier request_carrier;
		http_server callers;
		http_server relays;
		std::thread thread;
		std::atomic<int> in_flight{0};
	};

	/// Posts a step of the planned stop to both servers of each thread.
	void post_to_servers(void (http_server::*_step)());

	retry_token_bucket m_budget;
	std::vector<std::unique_ptr<worker>> m_workers;
};
} // namespace larkrack
