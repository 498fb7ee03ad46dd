// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Command-line client for operators.

#include "larkrack/config.h"

#include "http_p.h"
#include "policy_p.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

#include <cmath>
#include <cstdio>
#include <dirent.h>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

ABSL_FLAG(std::string, operators, "",
    "operators' addresses of entry VMs, IP:port, comma between; default $LARKRACK_OPERATORS");
ABSL_FLAG(std::string, token, "", "operators' token; default $LARKRACK_TOKEN");
ABSL_FLAG(std::string, f, "", "file, folder, or - for standard input");
ABSL_FLAG(std::string, o, "", "json: output for programs");
ABSL_FLAG(bool, dry_run, false, "check only, change nothing");
ABSL_FLAG(std::string, revision, "", "change only if the resource still has this revision");
ABSL_FLAG(int, seconds, 0, "watch: end after so many seconds; 0: never");

namespace
{
using namespace larkrack;

constexpr int k_exit_ok = 0;
constexpr int k_exit_failed = 1;
constexpr int k_exit_usage = 2;
constexpr int k_exit_conflict = 3;
constexpr int k_exit_invalid = 4;
constexpr int k_exit_unreachable = 5;
constexpr int k_exit_unsure = 6;
constexpr std::chrono::seconds k_timeout{20};

const char* const k_usage = R"(Command-line client of larkrack.

  larkrack apply -f FILE|FOLDER|-       put resources, all or none
  larkrack diff -f FILE|FOLDER|-        what apply would change
  larkrack get KIND [NAME]              resources ("all" for every kind)
  larkrack delete KIND NAME
  larkrack shift SERVICE REGION=SHARE...  declare the shares of a service
  larkrack drain KIND NAME              no new work (backend_server, domain, region, entry_vm)
  larkrack undrain KIND NAME
  larkrack status                       of the system, as one entry VM sees it
  larkrack watch                        shifts, live
  larkrack explain SERVICE CALLER_IP    where a caller would go now, and why
  larkrack check FILE                   settings or resources, offline

Exit codes: 0 done, 1 failed, 2 usage, 3 conflict, 4 invalid, 5 nobody answers, 6 unsure.)";

std::string or_environment(const std::string& _flag, const char* _variable)
{
	const char* value = std::getenv(_variable);
	return _flag.empty() && nullptr != value ? std::string(value) : _flag;
}

/// Makes one exchange after the other with the first entry VM that answers.
class client
{
public:
	client()
	{
		std::vector<std::string> parts;
		const std::string list = or_environment(absl::GetFlag(FLAGS_operators), "LARKRACK_OPERATORS");
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
	bool knows_somebody() const
	{
		return !m_endpoints.empty();
	}
	/// @returns The answer, or an error when nobody answers or the answer was lost.
	result<http_response> call(http::verb _verb, const std::string& _target, const std::string& _body = "",
	    const std::string& _if_match = "")
	{
		result<http_response> last = error{"refused", "no entry VM answers"};
		for (const endpoint& where : m_endpoints)
		{
			asio::io_context context;
			start(context,
			    [&](const yield_context& _yield)
			    {
				    http_request request = make_request(_verb, _target, where, _body);
				    request.set("Authorization",
				        "Bearer " + or_environment(absl::GetFlag(FLAGS_token), "LARKRACK_TOKEN"));
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
	const std::vector<endpoint>& endpoints() const
	{
		return m_endpoints;
	}

private:
	std::vector<endpoint> m_endpoints;
};

bool wants_json()
{
	return "json" == absl::GetFlag(FLAGS_o);
}

const char* colour(const char* _code)
{
	return 0 != isatty(STDOUT_FILENO) ? _code : "";
}

/// Prints what went wrong and returns the exit code for it.
int complain(const result<http_response>& _called)
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

/// @returns The body of a good answer, or nothing after complaining.
std::optional<nlohmann::json> body_of(const result<http_response>& _called, int& _code)
{
	const http_response* response = std::get_if<http_response>(&_called);
	if (nullptr == response || http::status::ok != response->result())
	{
		_code = complain(_called);
		return std::nullopt;
	}
	return nlohmann::json::parse(response->body(), nullptr, false);
}

bool read_documents(const std::string& _path, nlohmann::json& _resources)
{
	const auto take = [&](const nlohmann::json& _document)
	{
		const nlohmann::json list =
		    _document.is_object() && _document.contains("resources") ? _document["resources"] : _document;
		for (const nlohmann::json& one : list.is_array() ? list : nlohmann::json::array({list}))
		{
			_resources.push_back(one);
		}
	};
	if ("-" == _path)
	{
		const nlohmann::json document = nlohmann::json::parse(std::cin, nullptr, false);
		if (document.is_discarded())
		{
			std::cerr << "standard input is not JSON\n";
			return false;
		}
		take(document);
		return true;
	}
	std::vector<std::string> files = {_path};
	if (DIR* folder = opendir(_path.c_str()))
	{
		files.clear();
		while (const dirent* entry = readdir(folder))
		{
			const std::string name = entry->d_name;
			if (5 < name.size() && ".json" == name.substr(name.size() - 5))
			{
				files.push_back(_path + "/" + name);
			}
		}
		closedir(folder);
		std::sort(files.begin(), files.end());
	}
	for (const std::string& file : files)
	{
		result<nlohmann::json> read = read_json_file(file);
		if (const error* failure = std::get_if<error>(&read))
		{
			std::cerr << failure->message << "\n";
			return false;
		}
		take(std::get<nlohmann::json>(read));
	}
	return true;
}

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

int run_apply(client& _client)
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

int run_diff(client& _client)
{
	nlohmann::json resources = nlohmann::json::array();
	if (!read_documents(absl::GetFlag(FLAGS_f), resources))
	{
		return k_exit_usage;
	}
	int code = k_exit_ok;
	const auto answer = body_of(_client.call(http::verb::get, "/v1/resources/all"), code);
	if (!answer)
	{
		return code;
	}
	std::map<std::string, nlohmann::json> known;
	for (const nlohmann::json& one : (*answer)["items"])
	{
		known[one.value("kind", "") + "/" + one.value("name", "")] = one["spec"];
	}
	int changes = 0;
	for (const nlohmann::json& one : resources)
	{
		const std::string key = one.value("kind", "") + "/" + one.value("name", "");
		const nlohmann::json spec = one.value("spec", nlohmann::json::object());
		if (0 == known.count(key))
		{
			std::cout << colour("\033[32m") << "+ " << key << " " << spec.dump() << colour("\033[0m") << "\n";
			++changes;
		}
		else if (known[key] != spec)
		{
			std::cout << colour("\033[31m") << "- " << key << " " << known[key].dump() << colour("\033[0m")
			          << "\n"
			          << colour("\033[32m") << "+ " << key << " " << spec.dump() << colour("\033[0m") << "\n";
			++changes;
		}
	}
	std::cout << changes << " of " << resources.size() << " resources differ\n";
	return k_exit_ok;
}

int run_get(client& _client, const std::vector<std::string>& _arguments)
{
	std::string target = "/v1/resources/" + _arguments[0];
	target += 1 < _arguments.size() ? "/" + _arguments[1] : "";
	int code = k_exit_ok;
	const auto answer = body_of(_client.call(http::verb::get, target), code);
	if (!answer)
	{
		return code;
	}
	if (wants_json() || !answer->contains("items"))
	{
		std::cout << answer->dump(2) << "\n";
		return k_exit_ok;
	}
	for (const nlohmann::json& one : (*answer)["items"])
	{
		std::printf("%-16s %-24s %8lu  %s\n", one.value("kind", "").c_str(), one.value("name", "").c_str(),
		    one.value("revision", 0UL), one["spec"].dump().substr(0, 120).c_str());
	}
	return k_exit_ok;
}

int run_delete(client& _client, const std::vector<std::string>& _arguments)
{
	int code = k_exit_ok;
	const std::string target = "/v1/resources/" + _arguments[0] + "/" + _arguments[1] +
	                           (absl::GetFlag(FLAGS_dry_run) ? "?dry_run=true" : "");
	const auto answer =
	    body_of(_client.call(http::verb::delete_, target, "", absl::GetFlag(FLAGS_revision)), code);
	return answer ? print_accepted(*answer, "deletion") : code;
}

/// Reads a resource, changes its spec and puts it back only if nobody else changed it.
int change_spec(client& _client, const std::string& _kind, const std::string& _name,
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

int run_drain(client& _client, const std::vector<std::string>& _arguments, bool _drain)
{
	return change_spec(
	    _client, _arguments[0], _arguments[1],
	    [&](nlohmann::json& _spec)
	    {
		    _spec["drain"] = _drain;
	    },
	    (_drain ? "drain of " : "end of drain of ") + _arguments[1]);
}

int run_shift(client& _client, const std::vector<std::string>& _arguments)
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

std::string shares_text(const nlohmann::json& _shares)
{
	std::string text;
	for (const auto& [region, share] : _shares.items())
	{
		char part[96];
		std::snprintf(part, sizeof(part), "%s%s %.1f%%", text.empty() ? "" : ", ", region.c_str(),
		    100.0 * share.get<double>());
		text += part;
	}
	return text;
}

int run_status(client& _client)
{
	int code = k_exit_ok;
	const auto answer = body_of(_client.call(http::verb::get, "/v1/status"), code);
	if (!answer)
	{
		return code;
	}
	if (wants_json())
	{
		std::cout << answer->dump(2) << "\n";
		return k_exit_ok;
	}
	std::printf(
	    "seen by %s, revision %lu\n", answer->value("node", "").c_str(), answer->value("revision", 0UL));
	std::printf(
	    "degraded: %s\n", (*answer)["degraded"].empty() ? "no" : (*answer)["degraded"].dump().c_str());
	std::printf("\n%-20s %-16s %-10s %s\n", "ENTRY VM", "FAILURE DOMAIN", "STATE", "REVISION");
	for (const nlohmann::json& vm : (*answer)["entry_vms"])
	{
		std::printf("%-20s %-16s %-10s %lu%s\n", vm.value("name", "").c_str(), vm.value("domain", "").c_str(),
		    vm.value("state", "").c_str(), vm.value("revision", 0UL),
		    vm.value("lags", false) ? " (lags)" : "");
	}
	std::printf("\n%-16s %-16s %-12s %6s %7s %6s\n", "REGION", "FAILURE DOMAIN", "SERVICE", "SLOTS", "USABLE",
	    "IN USE");
	for (const nlohmann::json& room : (*answer)["rooms"])
	{
		std::printf("%-16s %-16s %-12s %6d %7d %6d\n", room.value("region", "").c_str(),
		    room.value("domain", "").c_str(), room.value("service", "").c_str(), room.value("slots", 0),
		    room.value("usable", 0), room.value("running", 0));
	}
	std::printf("\n%-12s %-8s %-9s %s\n", "SHIFT OF", "STATE", "WAITS FOR", "SHARES NOW -> GOAL");
	for (const nlohmann::json& shift : (*answer)["shifts"])
	{
		std::printf("%-12s %-8s %-9s %s -> %s\n", shift.value("service", "").c_str(),
		    shift.value("state", "").c_str(), shift.value("waits_for", "").c_str(),
		    shares_text(shift["shares"]).c_str(), shares_text(shift["goal"]).c_str());
	}
	return k_exit_ok;
}

std::string bar(double _part)
{
	constexpr int k_width = 20;
	const int full = static_cast<int>(std::lround(_part * k_width));
	return "[" + std::string(static_cast<std::size_t>(full), '#') +
	       std::string(static_cast<std::size_t>(k_width - full), '.') + "]";
}

int run_watch(client& _client)
{
	const int seconds = absl::GetFlag(FLAGS_seconds);
	std::string last;
	for (int round = 0; 0 == seconds || round < seconds * 2; ++round)
	{
		int code = k_exit_ok;
		const auto answer = body_of(_client.call(http::verb::get, "/v1/status"), code);
		if (!answer)
		{
			return code;
		}
		std::string text;
		for (const nlohmann::json& shift : (*answer)["shifts"])
		{
			if (wants_json())
			{
				text += shift.dump() + "\n";
				continue;
			}
			for (const auto& [region, goal] : shift["goal"].items())
			{
				const double now = shift["shares"].value(region, 0.0);
				char line[200];
				std::snprintf(line, sizeof(line), "%-12s %-16s %s %5.1f%% -> %5.1f%%  %s%s%s\n",
				    shift.value("service", "").c_str(), region.c_str(), bar(now).c_str(), 100.0 * now,
				    100.0 * goal.get<double>(), shift.value("state", "").c_str(),
				    shift.value("waits_for", "").empty() ? "" : ", waits for ",
				    shift.value("waits_for", "").c_str());
				text += line;
			}
		}
		if (text != last)
		{
			std::cout << text << std::endl;
			last = text;
		}
		usleep(500000);
	}
	return k_exit_ok;
}

int run_explain(client& _client, const std::vector<std::string>& _arguments)
{
	int code = k_exit_ok;
	const auto answer = body_of(
	    _client.call(http::verb::get, "/v1/explain?service=" + _arguments[0] + "&caller=" + _arguments[1]),
	    code);
	if (!answer)
	{
		return code;
	}
	if (wants_json())
	{
		std::cout << answer->dump(2) << "\n";
		return k_exit_ok;
	}
	for (const nlohmann::json& step : (*answer)["steps"])
	{
		std::printf("%-14s %s", step.value("rule", "").c_str(), step.value("result", "").c_str());
		if (step.contains("parts"))
		{
			std::printf("   (%s; this caller's point is %.4f)", shares_text(step["parts"]).c_str(),
			    step.value("point", 0.0));
		}
		std::printf("\n");
	}
	for (const nlohmann::json& vm : (*answer)["entry_vms"])
	{
		std::printf("entry_vm       %-20s %-14s weight %.3f, %d of %d slots in use\n",
		    vm.value("entry_vm", "").c_str(), vm.value("domain", "").c_str(), vm.value("weight", 0.0),
		    vm.value("running", 0), vm.value("usable", 0));
	}
	return k_exit_ok;
}

int run_check(const std::string& _path)
{
	result<nlohmann::json> read = read_json_file(_path);
	if (const error* failure = std::get_if<error>(&read))
	{
		std::cerr << failure->message << "\n";
		return k_exit_usage;
	}
	const nlohmann::json& document = std::get<nlohmann::json>(read);
	std::vector<mistake> mistakes;
	if (document.is_object() && document.contains("listen"))
	{
		auto parsed = parse_settings(document);
		if (auto* found = std::get_if<std::vector<mistake>>(&parsed))
		{
			mistakes = *found;
		}
	}
	else
	{
		nlohmann::json resources = nlohmann::json::array();
		if (!read_documents(_path, resources))
		{
			return k_exit_usage;
		}
		config_state state;
		state.rev = {1};
		for (const nlohmann::json& one : resources)
		{
			const std::string kind = one.value("kind", "");
			if (nullptr == schema_resource(kind))
			{
				mistakes.push_back({"/" + kind + "/" + one.value("name", ""), "\"" + kind + "\"",
				    "one of the resource kinds"});
			}
			state.resources[kind + "/" + one.value("name", "")] = {
			    one.value("spec", nlohmann::json::object()).dump(), {1}, ""};
		}
		auto built = build_policy(state);
		if (auto* found = std::get_if<std::vector<mistake>>(&built))
		{
			mistakes.insert(mistakes.end(), found->begin(), found->end());
		}
	}
	std::cout << to_string(mistakes);
	std::cout << _path << ": " << (mistakes.empty() ? "valid" : std::to_string(mistakes.size()) + " mistakes")
	          << "\n";
	return mistakes.empty() ? k_exit_ok : k_exit_invalid;
}

int usage()
{
	std::cerr << k_usage << "\n";
	return k_exit_usage;
}

int dispatch(const std::string& _command, const std::vector<std::string>& _arguments)
{
	const std::size_t count = _arguments.size();
	if ("check" == _command)
	{
		return 1 == count ? run_check(_arguments[0]) : usage();
	}
	client to;
	if (!to.knows_somebody())
	{
		std::cerr << "--operators, or $LARKRACK_OPERATORS, must name an entry VM\n";
		return k_exit_usage;
	}
	const bool has_file = !absl::GetFlag(FLAGS_f).empty();
	if ("apply" == _command && has_file)
	{
		return run_apply(to);
	}
	if ("diff" == _command && has_file)
	{
		return run_diff(to);
	}
	if ("get" == _command && (1 == count || 2 == count))
	{
		return run_get(to, _arguments);
	}
	if ("delete" == _command && 2 == count)
	{
		return run_delete(to, _arguments);
	}
	if ("shift" == _command && 2 <= count)
	{
		return run_shift(to, _arguments);
	}
	if (("drain" == _command || "undrain" == _command) && 2 == count)
	{
		return run_drain(to, _arguments, "drain" == _command);
	}
	if ("status" == _command && 0 == count)
	{
		return run_status(to);
	}
	if ("watch" == _command && 0 == count)
	{
		return run_watch(to);
	}
	if ("explain" == _command && 2 == count)
	{
		return run_explain(to, _arguments);
	}
	return usage();
}
} // namespace

int main(int _argc, char** _argv)
{
	absl::SetProgramUsageMessage(k_usage);
	absl::FlagsUsageConfig config;
	config.version_string = []
	{
		return std::string("larkrack " LARKRACK_VERSION "\n");
	};
	absl::SetFlagsUsageConfig(config);
	const std::vector<char*> rest = absl::ParseCommandLine(_argc, _argv);
	if (rest.size() < 2)
	{
		return usage();
	}
	return dispatch(rest[1], std::vector<std::string>(rest.begin() + 2, rest.end()));
}
