// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/answer_words_p.h"

#include "steering/backend_rest_p.h"
#include "steering/server_slowness_p.h"

#include <algorithm>
#include <cstdio>
#include <string>

namespace larkrack
{
namespace
{
namespace http = boost::beast::http;
using message_header = http::response_header<>;

std::string_view to_view(boost::beast::string_view _text)
{
	return {_text.data(), _text.size()};
}

std::string_view trimmed(std::string_view _text)
{
	constexpr std::string_view k_blanks = " \t";
	const std::size_t first = _text.find_first_not_of(k_blanks);
	if (std::string_view::npos == first)
	{
		return {};
	}
	return _text.substr(first, _text.find_last_not_of(k_blanks) - first + 1);
}

/// Reads "running,waiting,slots" and the optional fourth value, the work time. An invalid work time counts as
/// absent; the other values stay valid.
void parse_load_header(const message_header& _head, const header_names& _names, backend_report& _report)
{
	const std::string text(_head[_names.load]);
	backend_load load;
	int end = 0;
	if (3 != std::sscanf(text.c_str(), "%d,%d,%d%n", &load.running, &load.waiting, &load.slots, &end))
	{
		return;
	}
	_report.load = load;
	const std::string_view rest = trimmed(std::string_view(text).substr(static_cast<std::size_t>(end)));
	if (rest.empty() || ',' != rest.front())
	{
		return;
	}
	// A fifth value makes this a text that is no number.
	_report.slowness = parse_slowness(trimmed(rest.substr(1)));
	_report.invalid_slowness = !_report.slowness;
}

std::optional<limit_report> parse_limit_header(
    const message_header& _head, const header_names& _names, bool _ran, steady_time _now)
{
	const auto named = _head.find(_names.limit);
	if (_head.end() != named)
	{
		return parse_limit(to_view(named->value()), _now);
	}
	return _ran ? std::optional<limit_report>(limit_report{std::nullopt, _now}) : std::nullopt;
}

/// @returns The longest rest of all Retry-After headers of a response.
std::optional<steady_time::duration> parse_longest_rest(const message_header& _head)
{
	std::optional<steady_time::duration> longest;
	const auto named = _head.equal_range(http::field::retry_after);
	for (auto it = named.first; it != named.second; ++it)
	{
		longest = std::max(longest, parse_rest(to_view(it->value())));
	}
	return longest;
}
} // namespace

answer_marks read_answer_marks(const message_header& _head, const header_names& _names,
    std::string_view _request_id, bool _whole_request)
{
	answer_marks marks;
	marks.status = _head.result_int();
	const auto ids = _head.equal_range(_names.request_id);
	for (auto id = ids.first; id != ids.second; ++id)
	{
		const bool own = to_view(id->value()) == _request_id && answer_id::other != marks.id;
		marks.id = own ? answer_id::own : answer_id::other;
	}
	marks.not_run = _head.end() != _head.find(_names.not_run);
	const auto signatures = _head.equal_range(_names.signature);
	marks.has_signature = signatures.first != signatures.second;
	marks.odd_signature = marks.has_signature && (signatures.first->value().empty() ||
	                                                 std::next(signatures.first) != signatures.second);
	marks.whole_request = _whole_request;
	return marks;
}

backend_report parse_backend_report(
    const message_header& _head, const header_names& _names, bool _ran, steady_time _now)
{
	backend_report report;
	if (http::status::misdirected_request == _head.result())
	{
		return report;
	}
	parse_load_header(_head, _names, report);
	report.limit = parse_limit_header(_head, _names, _ran, _now);
	if (http::status::service_unavailable == _head.result())
	{
		report.rest = parse_longest_rest(_head);
	}
	const auto leaving = _head.find(_names.leaving);
	report.leaving = _head.end() != leaving && "0" != leaving->value();
	return report;
}
} // namespace larkrack
