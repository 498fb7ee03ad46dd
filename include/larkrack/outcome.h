// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Outcomes of a caller's request, reasons for a refusal, the names of HTTP headers, and the error type.
///
/// Functions that can fail return a result, which holds a value or an error; exceptions mean broken
/// invariants. Outcomes, reasons and headers are part of the protocol with callers, which docs/CALLERS.md
/// documents.
/// Owns: no state.
/// Relies on: nothing of larkrack.
#pragma once

#include <string>
#include <variant>

namespace larkrack
{
/// Outcome of a request, as the caller sees it.
enum class outcome
{
	served,  ///< A backend server responded, and its response was forwarded completely.
	not_run, ///< No backend server ran the request, and none will.
	unknown, ///< A backend server may have run the request.
};

/// Why a request was not served.
enum class reason
{
	none,
	no_headroom,      ///< All usable slots are occupied, and the queue is full or too slow.
	shed,             ///< The backend server shed the request without running it.
	deadline,         ///< The deadline passed before the request was sent.
	no_backend,       ///< No backend server of the service may be used from this entry VM.
	no_configuration, ///< The entry VM has no configuration yet.
	unknown_service,  ///< The configuration does not contain the service.
	cap,              ///< Serving the request would shift traffic faster than the cap of the service allows.
	stopping,         ///< The entry VM is stopping.
	unreachable,      ///< The owner or the backend server was unreachable; nothing was sent.
	lost_answer,      ///< The connection failed after the request was sent.
	owner_gone,       ///< The entry VM that may know the idempotency key is down or has restarted.
	in_flight_too_long, ///< Another attempt with this idempotency key was still running at the deadline.
	bad_grant,          ///< The grant is forged, expired or for another service.
	bad_request,        ///< The request violates the rules of HTTP or of larkrack.
	unknown_key,        ///< The API key is missing or belongs to no customer.
	no_home,            ///< The route and the customer have no home region in common.
	over_quota,         ///< The customer exceeds its quota.
	quota_unknown,      ///< No entry VM that lends the customer's quota tokens responds.
	ends_backends,      ///< Backend servers have repeatedly crashed while running the same request.
	resting,            ///< All backend servers that could serve the request have asked for a rest.
	over_share,         ///< The customer or failure domain uses more than its fair share of scarce slots.
	shed_by_priority,   ///< Slots are scarce, and go to more urgent requests.
};
/// The last value of enum reason.
constexpr reason k_last_reason = reason::shed_by_priority;

/// @returns Name in headers, logs and histories.
const char* to_string(outcome _outcome);
const char* to_string(reason _reason);

/// Error value: a short code for programs and a human-readable message.
struct error
{
	std::string code;
	std::string message;
};

/// A value or an error.
template <typename T>
using result = std::variant<T, error>;

/// @returns The value of a result, or null when it holds an error.
template <typename T>
T* value_of(result<T>& _result)
{
	return std::get_if<T>(&_result);
}

/// Names of HTTP headers between callers, entry VMs and backend servers.
constexpr const char* k_header_service = "Larkrack-Service"; ///< Requested service.
constexpr const char* k_header_grant = "Larkrack-Grant";     ///< Grant issued by a look-up.
constexpr const char* k_header_key = "Idempotency-Key";      ///< Idempotency key of a non-repeatable request.
constexpr const char* k_header_repeatable = "Larkrack-Repeatable"; ///< "1": the request may be repeated.
constexpr const char* k_header_first_try =
    "Larkrack-First-Try"; ///< "1": the caller has not sent this key before.
constexpr const char* k_header_deadline = "Larkrack-Deadline-Ms"; ///< Remaining time in milliseconds.
constexpr const char* k_header_priority = "Larkrack-Priority";    ///< 0 (lowest) to 9.
constexpr const char* k_header_caller = "Larkrack-Caller"; ///< Address of the caller, set by a trusted proxy.
constexpr const char* k_header_outcome = "Larkrack-Outcome";
constexpr const char* k_header_reason = "Larkrack-Reason";
constexpr const char* k_header_retry_after_ms = "Larkrack-Retry-After-Ms";
constexpr const char* k_header_entry_vm =
    "Larkrack-Entry-Vm"; ///< Entry VMs on the path of the request, first to last.
constexpr const char* k_header_backend = "Larkrack-Backend";       ///< Backend server that responded.
constexpr const char* k_header_relay = "Larkrack-Relay";           ///< Signature of a relayed request.
constexpr const char* k_header_request_id = "Larkrack-Request-Id"; ///< Unique id of one attempt.
constexpr const char* k_header_expires =
    "Larkrack-Expires-Us"; ///< Absolute deadline, microseconds since 1970.
constexpr const char* k_header_shed =
    "Larkrack-Shed"; ///< "1" from a backend server: the request was not run.
constexpr const char* k_header_traceparent = "traceparent";
} // namespace larkrack
