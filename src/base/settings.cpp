// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "base/settings_p.h"

#include <boost/asio/ip/address.hpp>

#include <fstream>

namespace larkrack
{
namespace
{
constexpr int k_port_max = 65535;

/// Parses the address at a JSON pointer, and adds a mistake when the address is invalid.
endpoint endpoint_at(
    const nlohmann::json& _document, const std::string& _path, std::vector<mistake>& _mistakes)
{
	const std::string text = _document.at(nlohmann::json::json_pointer(_path)).get<std::string>();
	result<endpoint> parsed = parse_endpoint(text);
	if (endpoint* good = value_of(parsed))
	{
		return *good;
	}
	_mistakes.push_back({_path, "\"" + text + "\"", "IP:port, as in 127.0.0.1:8000"});
	return {};
}
} // namespace

result<endpoint> parse_endpoint(const std::string& _text)
{
	const std::size_t colon = _text.rfind(':');
	if (std::string::npos == colon || _text.size() < colon + 2 || colon + 6 < _text.size())
	{
		return error{"bad_address", _text + " is not IP:port"};
	}
	std::string host = _text.substr(0, colon);
	if (2 < host.size() && '[' == host.front() && ']' == host.back())
	{
		host = host.substr(1, host.size() - 2);
	}
	const std::string digits = _text.substr(colon + 1);
	if (std::string::npos != digits.find_first_not_of("0123456789"))
	{
		return error{"bad_address", _text + " has no port"};
	}
	const int port = std::stoi(digits);
	boost::system::error_code failure;
	boost::asio::ip::make_address(host, failure);
	if (failure || k_port_max < port)
	{
		return error{"bad_address", _text + " is not IP:port"};
	}
	return endpoint{host, static_cast<std::uint16_t>(port)};
}

std::string to_string(const endpoint& _endpoint)
{
	const bool v6 = std::string::npos != _endpoint.host.find(':');
	return (v6 ? "[" + _endpoint.host + "]" : _endpoint.host) + ":" + std::to_string(_endpoint.port);
}

std::variant<settings, std::vector<mistake>> parse_settings(const nlohmann::json& _document)
{
	std::vector<mistake> mistakes = check_schema(schema_settings(), _document);
	if (!mistakes.empty())
	{
		return mistakes;
	}
	settings read;
	// The schema has validated presence and types, so only optional fields need defaults.
	read.name = _document["name"];
	read.region = _document["region"];
	read.domain = _document["domain"];
	read.callers = endpoint_at(_document, "/listen/callers", mistakes);
	read.relay = endpoint_at(_document, "/listen/relay", mistakes);
	read.peers = endpoint_at(_document, "/listen/peers", mistakes);
	read.operators = endpoint_at(_document, "/listen/operators", mistakes);
	read.platform = endpoint_at(_document, "/platform", mistakes);
	const nlohmann::json seeds = _document.value("seeds", nlohmann::json::array());
	for (std::size_t at = 0; at < seeds.size(); ++at)
	{
		read.seeds.push_back(endpoint_at(_document, "/seeds/" + std::to_string(at), mistakes));
	}
	read.secret = _document["secret"];
	read.operator_token = _document["operator_token"];
	read.chooser = _document.value("chooser", read.chooser);
	read.log_file = _document.value("log_file", "");
	read.trace_file = _document.value("trace_file", "");
	read.trace_http = _document.value("trace_http", "");
	read.trace_share = _document.value("trace_share", 0.0);
	read.traffic_threads = _document.value("traffic_threads", std::size_t{1});
	read.read_ahead = _document.value("read_ahead", true);
	read.trust_caller_header = _document.value("trust_caller_header", false);
	read.test_faults = _document.value("test_faults", false);
	// The schema only checks a pattern for addresses; endpoint_at() has added those that do not parse.
	if (!mistakes.empty())
	{
		return mistakes;
	}
	return read;
}

result<nlohmann::json> read_json_file(const std::string& _path)
{
	std::ifstream file(_path);
	if (!file)
	{
		return error{"no_file", _path + ": can not be read"};
	}
	try
	{
		return nlohmann::json::parse(file);
	}
	catch (const nlohmann::json::parse_error& failure)
	{
		return error{"bad_json", _path + ": " + failure.what()};
	}
}
} // namespace larkrack
