// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Catalogue of the log events of larkrackd and larkrack-edge. docs/EVENTS.md documents the same table; a
/// test compares the two.
///
/// Owns: numbers, names and severities. The number of an event is never reused, since operators' alerts match
/// on numbers.
/// Relies on: nothing of larkrack.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>

namespace larkrack
{
/// Severity of an event.
enum class severity
{
	info,
	warning,
	error,
};

// Columns: number, name, severity, text. Numbers are never reused.
#define LARKRACK_EVENTS(X)                                                                                   \
	X(1001, node_started, info, "The process serves.")                                                       \
	X(1002, node_stopping, info, "A planned stop began.")                                                    \
	X(1003, node_stopped, info, "The process ends; no request was in flight.")                               \
	X(1004, node_failed, error, "The process can not start.")                                                \
	X(1005, node_paused, warning,                                                                            \
	    "The control thread stood still; ownership is confirmed before the next send.")                      \
	X(1101, platform_up, info, "The platform answers again.")                                                \
	X(1102, platform_down, warning, "The platform does not answer; the node goes on with what it knows.")    \
	X(1103, platform_older, warning,                                                                         \
	    "The platform holds an older configuration than this node; it is not taken.")                        \
	X(1104, platform_restored, warning, "This node wrote its newer configuration back to the platform.")     \
	X(1201, config_taken, info, "A configuration is in force at this node.")                                 \
	X(1202, config_refused, error, "A configuration is invalid and is not taken.")                           \
	X(1203, config_written, info, "An operator's change was accepted.")                                      \
	X(1204, config_conflict, warning, "An operator's change was refused: the resource had changed.")         \
	X(1205, config_unsure, warning, "The answer to a write was lost; it is read back.")                      \
	X(1301, peer_up, info, "An entry VM answers.")                                                           \
	X(1302, peer_suspected, warning, "An entry VM is silent.")                                               \
	X(1303, peer_left, info, "An entry VM said farewell.")                                                   \
	X(1304, peer_refused, warning, "A peer was refused at the handshake.")                                   \
	X(1305, peer_slow, warning, "A peer reads too slowly and was dropped.")                                  \
	X(1401, owner_taken, info, "This node owns backend servers.")                                            \
	X(1402, owner_released, info, "This node gave backend servers up.")                                      \
	X(1403, owner_quarantine, warning,                                                                       \
	    "Slots are taken as full until the longest deadline of the former owner.")                           \
	X(1404, owner_lost, warning, "The record names another owner; no new work is sent.")                     \
	X(1501, shift_step, info, "A shift advanced by a step.")                                                 \
	X(1502, shift_waits, info, "A shift waits.")                                                             \
	X(1503, shift_done, info, "A shift reached its goal.")                                                   \
	X(1504, drain_started, info, "A backend server gets no new work.")                                       \
	X(1505, drain_ended, info, "The last request of a draining backend server ended.")                       \
	X(1601, backend_unreachable, warning, "A backend server refuses connections.")                           \
	X(1602, backend_shedding, warning, "A backend server sheds; the pace towards it is lowered.")            \
	X(1701, operator_refused, warning, "A change without the right token was refused.")                      \
	X(1801, trace_dropped, warning, "Spans were dropped because the queue was full.")                        \
	X(1802, log_dropped, warning, "Lines of the log were dropped because its reader is slow.")               \
	X(1901, request_ended, info, "A request got its final answer.")                                          \
	X(1902, attempt_failed, warning, "A backend server did not serve a request that was sent to it.")        \
	X(1903, backend_changed, info, "The registry tells a new state of a backend server.")                    \
	X(1904, backend_removed, info, "A backend server left the registry.")                                    \
	X(1905, domain_evacuated, info, "The failure domains that get no new work changed.")                     \
	X(1906, shares_changed, info, "The shares of regions in a service's requests moved.")                    \
	X(1907, settings_reloaded, info, "The settings file was read again.")                                    \
	X(1908, settings_refused, error, "The settings file is invalid; the last good settings stay.")           \
	X(1909, state_learned, info, "Configuration and registry were learned from another node.")               \
	X(1910, store_resynced, info, "The platform's keys were read anew.")                                     \
	X(1911, customer_limited, warning, "A customer asks for more than its quota; requests are refused.")     \
	X(1912, backend_refused, warning, "An entry of the registry names no backend server that can be used.")  \
	X(1913, rollout_decided, info, "This node writes down how a roll-out goes on.")                          \
	X(1914, rollout_changed, info, "The store tells a new state of a roll-out.")                             \
	X(1915, rollout_refused, warning, "A key about a roll-out is none; nothing moves.")                      \
	X(1916, backend_limited, info, "A backend server names another limit of its requests, or none.")         \
	X(1917, backend_ended, warning, "A backend server ended with requests of this node on it.")              \
	X(1918, request_blocked, warning, "What is known of a request that ends backend servers has changed.")   \
	X(1919, backend_resting, info, "A backend server wants no requests from this node for some time.")       \
	X(1920, backend_leaving, info, "A backend server said beside an answer that it leaves.")                 \
	X(1921, load_level_changed, info, "The load level of a service in a region is in another band.")         \
	X(1922, path_lost, warning, "This node does not reach the backend servers of a failure domain.")         \
	X(1923, path_regained, info, "This node reaches the backend servers of a failure domain again.")         \
	X(1924, config_fetched, info, "A node or the store was asked for a newer configuration.")                \
	X(1925, unread_refused, info, "A request was refused before it was read whole.")                         \
	X(1926, promise_broken, error, "A request that was refused as not run was sent, or ran.")                \
	X(1927, store_call_failed, warning, "The store did not answer a call, or refused it.")                   \
	X(1928, store_unheard, warning,                                                                          \
	    "What this node knows has not been confirmed by the store for too long.")                            \
	X(1929, store_heard, info, "What this node knows is confirmed by the store again.")                      \
	X(1930, memory_ended, warning, "A request or a response was ended for lack of memory.")

/// Log event; the value is its number in the catalogue.
enum class event : std::uint16_t
{
#define LARKRACK_EVENT_ENUM(_number, _name, _severity, _text) _name = (_number),
	LARKRACK_EVENTS(LARKRACK_EVENT_ENUM)
#undef LARKRACK_EVENT_ENUM
};

/// Row of the catalogue.
struct event_info
{
	event id;
	const char* name;
	severity weight;
	const char* text;
};

/// @returns All rows of the catalogue.
const std::vector<event_info>& event_catalogue();
/// @returns The row of an event.
const event_info& info_of(event _event);
} // namespace larkrack
