// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/request_times_p.h"

#include <algorithm>
#include <charconv>

namespace larkrack
{
std::optional<std::chrono::milliseconds> parse_timeout(std::string_view _text)
{
	std::int64_t ms = 0;
	const auto read = std::from_chars(_text.data(), _text.data() + _text.size(), ms);
	if (read.ec != std::errc() || ms < 0)
	{
		return std::nullopt;
	}
	return std::min(std::chrono::milliseconds(ms), k_max_stated_timeout);
}

std::chrono::milliseconds request_timeout(
    std::optional<std::string_view> _stated, std::chrono::milliseconds _route_timeout)
{
	const std::chrono::milliseconds timeout =
	    (_stated ? parse_timeout(*_stated) : std::nullopt).value_or(k_default_timeout);
	return _route_timeout.count() > 0 ? std::min(timeout, _route_timeout) : timeout;
}

std::chrono::milliseconds response_drain_time(std::chrono::milliseconds _since_sent, bool _deadline_passed)
{
	return _deadline_passed ? k_response_drain_time
	                        : std::max(std::chrono::milliseconds(0), k_response_drain_time - _since_sent);
}

std::chrono::milliseconds connect_timeout(bool _same_region)
{
	return _same_region ? k_connect_timeout_same_region : k_connect_timeout_other_region;
}

double retry_after_s(std::minstd_rand& _random)
{
	return std::uniform_real_distribution<double>(k_retry_after_min_s, k_retry_after_max_s)(_random);
}

double retry_after_rest_s(double _left_s, double _usual_s)
{
	return std::max(_left_s, k_retry_after_min_s) + _usual_s - k_retry_after_min_s;
}
} // namespace larkrack
