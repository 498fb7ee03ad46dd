// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Commands of larkrack that change resources: apply, delete, shift, drain and undrain.
#include "larkrack_p.h"

#include <cstdlib>
#include <functional>
#include <iostream>

namespace larkrack
{
namespace
{
int print_accepted(const nlohmann::json& _body, const std::string& _what)
{
	if (wants_json())
	{
		std::cout << _body.dump() << "\n";
		return k_exit_ok;
	}
	std::cout << _what << (absl::GetFlag(FLAGS_dry_run) ? " would be accepted" : " accepted") << ", revision "
	          << _body.value("revision", 0) << "\n";
	return k_exit_ok;
}

/// Reads a resource, modifies its spec, and writes it back unless another operator has changed it meanwhile.
int change_spec(operators_client& _client, const std::string& _kind, const std::string& _name,
    const std::function<void(nlohmann::json&)>& _change, const std::string& _what)
{
	const std::string target = "/v1/resources/" + _kind + "/" + _name;
	int code = k_exit_ok;
	const auto read = body_of(_client.call(http::verb::get, target), code);
	if (!read)
	{
		return code;
	}
	nlohmann::json spec = (*read)["spec"];
	_change(spec);
	const std::string wanted = absl::GetFlag(FLAGS_revision);
	const std::string at = wanted.empty() ? std::to_string((*read)["revision"].get<std::uint64_t>()) : wanted;
	const std::string query = absl::GetFlag(FLAGS_dry_run) ? "?dry_run=true" : "";
	const auto answer = body_of(
	    _client.call(http::verb::put, target + query, nlohmann::json({{"spec", spec}}).dump(), at), code);
	return answer ? print_accepted(*answer, _what) : code;
}
} // namespace

int run_apply(operators_client& _client)
{
	nlohmann::json resources = nlohmann::json::array();
	if (!read_documents(absl::GetFlag(FLAGS_f), resources))
	{
		return k_exit_usage;
	}
	const nlohmann::json body = {{"resources", resources}, {"dry_run", absl::GetFlag(FLAGS_dry_run)}};
	int code = k_exit_ok;
	const auto answer = body_of(_client.call(http::verb::post, "/v1/apply", body.dump()), code);
	return answer ? print_accepted(*answer, std::to_string(resources.size()) + " resources") : code;
}

int run_delete(operators_client& _client, const std::vector<std::string>& _arguments)
{
	int code = k_exit_ok;
	const std::string target = "/v1/resources/" + _arguments[0] + "/" + _arguments[1] +
	                           (absl::GetFlag(FLAGS_dry_run) ? "?dry_run=true" : "");
	const auto answer =
	    body_of(_client.call(http::verb::delete_, target, "", absl::GetFlag(FLAGS_revision)), code);
	return answer ? print_accepted(*answer, "deletion") : code;
}

int run_drain(operators_client& _client, const std::vector<std::string>& _arguments, bool _drain)
{
	return change_spec(
	    _client, _arguments[0], _arguments[1],
	    [&](nlohmann::json& _spec)
	    {
		    _spec["drain"] = _drain;
	    },
	    (_drain ? "drain of " : "end of drain of ") + _arguments[1]);
}

int run_shift(operators_client& _client, const std::vector<std::string>& _arguments)
{
	nlohmann::json shares = nlohmann::json::object();
	for (std::size_t at = 1; at < _arguments.size(); ++at)
	{
		const std::size_t equals = _arguments[at].find('=');
		if (std::string::npos == equals)
		{
			std::cerr << _arguments[at] << " is not REGION=SHARE\n";
			return k_exit_usage;
		}
		shares[_arguments[at].substr(0, equals)] = std::atof(_arguments[at].c_str() + equals + 1);
	}
	return change_spec(
	    _client, "steering", _arguments[0],
	    [&](nlohmann::json& _spec)
	    {
		    _spec["shares"] = shares;
	    },
	    "shift of " + _arguments[0]);
}
} // namespace larkrack
