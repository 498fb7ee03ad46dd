// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Outcomes of a caller's request, reasons for a refusal, and the names of HTTP headers that carry them.
///
/// Also the project's way of errors: a result holds a value or an error, and exceptions mean broken
/// invariants. docs/CALLERS.md tells callers what outcomes and headers mean; they are part of the wire.
#pragma once

#include <string>
#include <variant>

namespace larkrack
{
/// What became of a request.
enum class outcome
{
	served,  ///< A backend server answered; its answer was passed on whole.
	not_run, ///< No backend server ran it, and none will.
	unknown, ///< It may have run.
};

/// Why a request was not served.
enum class reason
{
	none,
	no_headroom,        ///< Every slot that may be used is taken and the queue is full or too slow.
	shed,               ///< The backend server said that it did not run the request.
	deadline,           ///< The deadline passed before the request was sent.
	no_backend,         ///< No backend server of the service may be used from here.
	no_configuration,   ///< The entry VM knows no configuration yet.
	unknown_service,    ///< The configuration has no such service.
	cap,                ///< Serving it would move traffic faster than the cap of the service.
	stopping,           ///< The entry VM is about to stop.
	unreachable,        ///< The owner or the backend server could not be reached; nothing was sent.
	lost_answer,        ///< The connection broke after the request was sent.
	owner_gone,         ///< The entry VM that may know the key is gone, or lives a new life.
	in_flight_too_long, ///< Another try with this key was still running at the deadline.
	bad_grant,          ///< The grant is forged, expired or for another service.
	bad_request,        ///< The request breaks the rules of HTTP or of larkrack.
	unknown_key,        ///< No customer holds the API key, or the request has none.
	no_home,            ///< The home regions of route and customer have none in common.
	over_quota,         ///< The customer asks for more than its quota.
	quota_unknown,      ///< No entry VM that lends the customer's tokens answers.
	ends_backends,      ///< Backend servers have ended under the same request again and again.
	resting,            ///< All backend servers that could serve it have asked for rest.
};

/// @returns Name used in headers, logs and histories.
const char* to_string(outcome _outcome);
const char* to_string(reason _reason);

/// An error that is a value: a short code for programs and a sentence for people.
struct error
{
	std::string code;
	std::string message;
};

/// Either a value or an error.
template <typename T>
using result = std::variant<T, error>;

/// @returns The value of a result, or null when it holds an error.
template <typename T>
T* value_of(result<T>& _result)
{
	return std::get_if<T>(&_result);
}

/// Names of HTTP headers between callers, entry VMs and backend servers.
constexpr const char* k_header_service = "Larkrack-Service";       ///< Service that is asked for.
constexpr const char* k_header_grant = "Larkrack-Grant";           ///< Grant of a look-up.
constexpr const char* k_header_key = "Idempotency-Key";            ///< Key of a non-repeatable request.
constexpr const char* k_header_repeatable = "Larkrack-Repeatable"; ///< "1": may be repeated.
constexpr const char* k_header_first_try =
    "Larkrack-First-Try"; ///< "1": the caller has not sent this key before.
constexpr const char* k_header_deadline = "Larkrack-Deadline-Ms"; ///< Milliseconds that remain.
constexpr const char* k_header_priority = "Larkrack-Priority";    ///< 0 (lowest) to 9.
constexpr const char* k_header_caller = "Larkrack-Caller"; ///< Address of the caller, from a trusted proxy.
constexpr const char* k_header_outcome = "Larkrack-Outcome";
constexpr const char* k_header_reason = "Larkrack-Reason";
constexpr const char* k_header_retry_after_ms = "Larkrack-Retry-After-Ms";
constexpr const char* k_header_entry_vm = "Larkrack-Entry-Vm";     ///< Entry VMs on the way, first to last.
constexpr const char* k_header_backend = "Larkrack-Backend";       ///< Backend server that answered.
constexpr const char* k_header_relay = "Larkrack-Relay";           ///< Signature of a relayed request.
constexpr const char* k_header_request_id = "Larkrack-Request-Id"; ///< Id of one try, unique.
constexpr const char* k_header_expires =
    "Larkrack-Expires-Us";                             ///< Absolute deadline, microseconds since 1970.
constexpr const char* k_header_shed = "Larkrack-Shed"; ///< "1" from a backend server: not run.
constexpr const char* k_header_traceparent = "traceparent";
} // namespace larkrack
