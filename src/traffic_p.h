// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Traffic threads: each with its own listeners, connections and carrier.
#pragma once

#include "carrier_p.h"

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
	/// Asks callers and entry VMs, answer by answer, to leave their connections.
	void begin_stop();
	/// Accepts no more connections from callers and entry VMs.
	void stop_accepting();
	/// @returns Requests in flight in all threads.
	int in_flight() const;

private:
	struct worker
	{
		worker(const kernel& _kernel, retry_budget& _budget);
		asio::io_context context{1};
		carrier carry;
		http_server callers;
		http_server relays;
		std::thread thread;
		std::atomic<int> in_flight{0};
	};

	retry_budget m_budget;
	std::vector<std::unique_ptr<worker>> m_workers;
};
} // namespace larkrack
