// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The parts of the operators' command line client: the exchange with an entry VM, and one function for each
/// command. Owns nothing that lasts; relies on the resource API of larkrackd, whose forms docs/FORMS.md
/// tells. Each command prints its answer to standard output and what went wrong to standard error, and
/// returns the exit code.
#pragma once

#include "base/http_p.h"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

ABSL_DECLARE_FLAG(std::string, operators);
ABSL_DECLARE_FLAG(std::string, token);
ABSL_DECLARE_FLAG(std::string, f);
ABSL_DECLARE_FLAG(std::string, o);
ABSL_DECLARE_FLAG(bool, dry_run);
ABSL_DECLARE_FLAG(std::string, revision);
ABSL_DECLARE_FLAG(int, seconds);

namespace larkrack
{
constexpr int k_exit_ok = 0;
constexpr int k_exit_failed = 1;
constexpr int k_exit_usage = 2;
constexpr int k_exit_conflict = 3;
constexpr int k_exit_invalid = 4;
constexpr int k_exit_unreachable = 5;
constexpr int k_exit_unsure = 6;

/// Makes one exchange after the other with the first entry VM that answers.
class operators_client
{
public:
	/// Takes the addresses from --operators or the environment; a text that is no address is left out.
	operators_client();
	bool knows_somebody() const
	{
		return !m_endpoints.empty();
	}
	/// @returns The answer, or an error when nobody answers or the answer was lost.
	result<http_response> call(http::verb _verb, const std::string& _target, const std::string& _body = "",
	    const std::string& _if_match = "");

private:
	std::vector<endpoint> m_endpoints;
};

/// @returns The body of a good answer, or nothing after complaining.
/// @param[out] _code Exit code, set when there is nothing.
std::optional<nlohmann::json> body_of(const result<http_response>& _called, int& _code);
/// @returns Whether the output is for programs.
bool wants_json();
/// Reads a file, the JSON files of a folder, or standard input, and adds their resources to an array.
/// @returns False after complaining.
bool read_documents(const std::string& _path, nlohmann::json& _resources);

// Commands that change something.
int run_apply(operators_client& _client);
int run_delete(operators_client& _client, const std::vector<std::string>& _arguments);
int run_shift(operators_client& _client, const std::vector<std::string>& _arguments);
int run_drain(operators_client& _client, const std::vector<std::string>& _arguments, bool _drain);

// Commands that show something.
int run_get(operators_client& _client, const std::vector<std::string>& _arguments);
int run_status(operators_client& _client);
int run_watch(operators_client& _client);
int run_explain(operators_client& _client, const std::vector<std::string>& _arguments);

// Commands about files.
int run_diff(operators_client& _client);
int run_check(const std::string& _path);
} // namespace larkrack
