// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Operators' command line client: the HTTP client for entry VMs, and one function for each command. Each
/// command prints its result to standard output and errors to standard error, and returns the exit code of
/// the process.
/// Owns: no persistent state.
/// Relies on: the resource API of larkrackd, documented in docs/FORMS.md.
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

/// Sends requests to the operators' API, one at a time, trying the given entry VMs in order.
class operators_client
{
public:
	/// Takes the addresses from --operators or $LARKRACK_OPERATORS; invalid addresses are skipped.
	operators_client();
	/// @returns Whether at least one valid address was given.
	bool has_endpoints() const
	{
		return !m_endpoints.empty();
	}
	/// Sends a request to the first entry VM that is reachable.
	/// @returns The response; an error when no entry VM is reachable or the response was lost.
	result<http_response> call(http::verb _verb, const std::string& _target, const std::string& _body = "",
	    const std::string& _if_match = "");

private:
	std::vector<endpoint> m_endpoints;
};

/// Prints an error unless the response has status 200.
/// @param[out] _code Exit code; set only on an error.
/// @returns The body of the response, or nothing on an error.
std::optional<nlohmann::json> body_of(const result<http_response>& _called, int& _code);
/// @returns Whether the output format is JSON (-o json).
bool wants_json();
/// Reads a file, the JSON files of a folder, or standard input, and adds their resources to an array.
/// @returns False when a file could not be read; the error has been printed.
bool read_documents(const std::string& _path, nlohmann::json& _resources);

// Commands that change resources.
int run_apply(operators_client& _client);
int run_delete(operators_client& _client, const std::vector<std::string>& _arguments);
int run_shift(operators_client& _client, const std::vector<std::string>& _arguments);
int run_drain(operators_client& _client, const std::vector<std::string>& _arguments, bool _drain);

// Commands that read the state of the system.
int run_get(operators_client& _client, const std::vector<std::string>& _arguments);
int run_status(operators_client& _client);
int run_watch(operators_client& _client);
int run_explain(operators_client& _client, const std::vector<std::string>& _arguments);

// Commands that compare or validate files.
int run_diff(operators_client& _client);
int run_check(const std::string& _path);
} // namespace larkrack
