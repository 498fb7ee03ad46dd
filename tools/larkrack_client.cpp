// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// HTTP client for the operators' API of entry VMs, and the mapping of responses to exit codes.
#include "larkrack_p.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

#include <iostream>

namespace larkrack
{
namespace
{
/// Timeout of a request. It is longer than an entry VM takes to report a write as unsure.
constexpr std::chrono::seconds k_timeout{20};

/// @returns The value of a flag, or of an environment variable when the flag is empty.
std::string flag_or_environment(const std::string& _flag, const char* _variable)
{
	const char* value = std::getenv(_variable);
	return _flag.empty() && nullptr != value ? std::string(value) : _flag;
}

/// Prints an error.
/// @returns The exit code for it.
int report_error(const result<http_response>& _called)
{
	if (const error* failure = std::get_if<error>(&_called))
	{
		std::cerr << failure->message << "\n";
		return "unsure" == failure->code ? k_exit_unsure : k_exit_unreachable;
	}
	const http_response& response = std::get<http_response>(_called);
	const nlohmann::json body = nlohmann::json::parse(response.body(), nullptr, false);
	std::cerr << (body.is_object() ? body.value("message", response.body()) : response.body()) << "\n";
	if (body.is_object() && body.contains("mistakes"))
	{
		for (const nlohmann::json& one : body["mistakes"])
		{
			std::cerr << "  " << one.value("path", "") << ": " << one.value("value", "") << ": "
			          << one.value("allowed", "") << "\n";
		}
		return k_exit_invalid;
	}
	if (body.is_object() && body.contains("resource_revision"))
	{
		std::cerr << "  " << body.value("resource", "") << " has revision " << body["resource_revision"]
		          << "\n";
	}
	switch (response.result())
	{
	case http::status::conflict:
		return k_exit_conflict;
	case http::status::gateway_timeout:
		return k_exit_unsure;
	default:
		return k_exit_failed;
	}
}
} // namespace

operators_client::operators_client()
{
	std::vector<std::string> parts;
	const std::string list = flag_or_environment(absl::GetFlag(FLAGS_operators), "LARKRACK_OPERATORS");
	boost::split(parts, list, boost::is_any_of(","), boost::token_compress_on);
	for (const std::string& part : parts)
	{
		result<endpoint> parsed = parse_endpoint(part);
		if (const endpoint* good = value_of(parsed))
		{
			m_endpoints.push_back(*good);
		}
	}
}

result<http_response> operators_client::call(
    http::verb _verb, const std::string& _target, const std::string& _body, const std::string& _if_match)
{
	result<http_response> last = error{"refused", "no entry VM is reachable"};
	for (const endpoint& where : m_endpoints)
	{
		asio::io_context context;
		start(context,
		    [&](const yield_context& _yield)
		    {
			    http_request request = make_request(_verb, _target, where, _body);
			    request.set("Authorization",
			        "Bearer " + flag_or_environment(absl::GetFlag(FLAGS_token), "LARKRACK_TOKEN"));
			    if (!_if_match.empty())
			    {
				    request.set("If-Match", "\"" + _if_match + "\"");
			    }
			    http_caller caller(context.get_executor());
			    last = caller.call(where, request, k_timeout, _yield);
		    });
		context.run();
		const error* failure = std::get_if<error>(&last);
		if (nullptr == failure || "refused" != failure->code)
		{
			return last;
		}
	}
	return last;
}

bool wants_json()
{
	return "json" == absl::GetFlag(FLAGS_o);
}

std::optional<nlohmann::json> body_of(const result<http_response>& _called, int& _code)
{
	const http_response* response = std::get_if<http_response>(&_called);
	if (nullptr == response || http::status::ok != response->result())
	{
		_code = report_error(_called);
		return std::nullopt;
	}
	return nlohmann::json::parse(response->body(), nullptr, false);
}
} // namespace larkrack
