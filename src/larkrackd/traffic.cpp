// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/traffic_p.h"

#include "larkrack/config.h"

namespace larkrack
{
traffic::worker::worker(const kernel& _kernel, retry_token_bucket& _budget)
    : request_carrier(context, _kernel, _budget),
      callers(context,
          [this](http_session& _session, http_request& _request, const yield_context& _yield)
          {
	          ++in_flight;
	          request_carrier.handle_caller(_session, _request, _yield);
	          --in_flight;
          }),
      relays(context,
          [this](http_session& _session, http_request& _request, const yield_context& _yield)
          {
	          ++in_flight;
	          request_carrier.handle_relay(_session, _request, _yield);
	          --in_flight;
          })
{
}

std::optional<error> traffic::init(kernel& _kernel)
{
	const settings& own = _kernel.find<settings_service>("settings")->get();
	const bool shared = 1 < own.traffic_threads;
	for (std::size_t at = 0; at < own.traffic_threads; ++at)
	{
		m_workers.push_back(std::make_unique<worker>(_kernel, m_budget));
		worker& one = *m_workers.back();
		std::optional<error> failure = one.callers.listen(own.callers, shared);
		failure = failure ? failure : one.relays.listen(own.relay, shared);
		if (failure)
		{
			return failure;
		}
	}
	for (const auto& one : m_workers)
	{
		one->thread = std::thread(
		    [raw = one.get()]
		    {
			    raw->context.run();
		    });
	}
	return std::nullopt;
}

void traffic::post_to_servers(void (http_server::*_step)())
{
	for (const auto& one : m_workers)
	{
		asio::post(one->context,
		    [raw = one.get(), _step]
		    {
			    (raw->callers.*_step)();
			    (raw->relays.*_step)();
		    });
	}
}

void traffic::begin_stop()
{
	post_to_servers(&http_server::begin_stop);
}

void traffic::stop_accepting()
{
	post_to_servers(&http_server::stop_accepting);
}

void traffic::shutdown()
{
	for (const auto& one : m_workers)
	{
		one->context.stop();
		if (one->thread.joinable())
		{
			one->thread.join();
		}
	}
}

int traffic::in_flight() const
{
	int sum = 0;
	for (const auto& one : m_workers)
	{
		sum += one->in_flight.load();
	}
	return sum;
}
} // namespace larkrack
