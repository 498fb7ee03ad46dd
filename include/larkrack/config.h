// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Limits, deadlines and intervals that several modules of larkrackd share. Each says its unit and what it
/// trades; where a measurement set it, it names it. Queue wait and heartbeat interval can be set at build
/// time.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#ifndef LARKRACK_CONFIG_QUEUE_WAIT_MS
#define LARKRACK_CONFIG_QUEUE_WAIT_MS 40
#endif

#ifndef LARKRACK_CONFIG_HEARTBEAT_MS
#define LARKRACK_CONFIG_HEARTBEAT_MS 250
#endif

namespace larkrack
{
/// Longest stay of a request in the queue of an owner before it is refused. Longer serves more in a peak, and
/// refuses later: refusals in under 50 ms are a goal (docs/MEASUREMENTS.md, Beside the plain ways).
constexpr std::chrono::milliseconds k_queue_wait{LARKRACK_CONFIG_QUEUE_WAIT_MS};
/// Time between two heartbeats of an entry VM in a small fleet. Shorter finds failures sooner and costs
/// messages (docs/CAPACITY.md).
constexpr std::chrono::milliseconds k_heartbeat_interval{LARKRACK_CONFIG_HEARTBEAT_MS};
/// Age of a backend server's load report from which the node is in mode stale_measurements. Shorter tells
/// sooner and flaps when a probe is late. Not measured.
constexpr std::chrono::milliseconds k_load_report_stale{16 * LARKRACK_CONFIG_HEARTBEAT_MS};
/// Peers of its own failure domain that one heartbeat round is sent to, at most. More spreads news sooner and
/// costs bytes (docs/CAPACITY.md).
constexpr std::size_t k_heartbeat_fanout = 4;
/// Members of each failure domain that exchange news with the other failure domains. Two, so that one may be
/// away. Not measured.
constexpr std::size_t k_delegates = 2;
/// Members of each failure domain that hold a watch on the store. Two, so that one may be away; each costs
/// the calls counted in docs/CAPACITY.md.
constexpr std::size_t k_readers = 2;
/// Deadline of one call to the store. Longer waits for a slow store, shorter calls it down sooner. Not
/// measured.
constexpr std::chrono::milliseconds k_platform_deadline{1500};
/// First and longest limit of the pause between two tries at the store; the pause is drawn from 0 to a limit
/// that doubles (full jitter). The peak of calls after an outage: docs/CAPACITY.md (Calls to the platform).
constexpr std::chrono::milliseconds k_backoff_first{200};
constexpr std::chrono::milliseconds k_backoff_last{10000};
/// Deadline of a request when neither the caller nor the service names one. Not measured.
constexpr std::chrono::milliseconds k_default_deadline{10000};
/// Longest time a request may occupy a slot of a backend server, unless its service says otherwise. A new
/// owner counts all slots as full for this long and k_clock_skew. Not measured.
constexpr std::chrono::milliseconds k_default_run_limit{2000};
/// Difference of clocks that is assumed between any two VMs. Larger keeps slots of a former owner taken
/// for longer, smaller risks runs above the slots. Not measured.
constexpr std::chrono::milliseconds k_clock_skew{100};
/// A gap between two ticks of the control thread from this on counts as a pause of the process: others may
/// have taken what it owned (docs/MEASUREMENTS.md, paused_holder).
constexpr std::chrono::milliseconds k_pause_gap{2000};
/// Time between two ticks of the control thread. Shorter frees slots and notices a pause sooner and costs
/// processor time.
constexpr std::chrono::milliseconds k_tick{50};
/// Life of a grant, and so how long a key is remembered. Longer costs memory for each key (k_keys). Not
/// measured.
constexpr std::chrono::seconds k_grant_life{60};
/// Life of a caller's copy of a look-up. Longer costs fewer look-ups and sends callers longer to an entry VM
/// that stops. Not measured.
constexpr std::chrono::milliseconds k_lookup_ttl{1000};
/// Bytes of the head and of the body of a caller's request. Not measured.
constexpr std::uint32_t k_header_limit = 16ULL * 1024;
constexpr std::uint64_t k_body_limit = 8ULL * 1024 * 1024;
/// Longest time a caller may take to send a head, or to send or read on by one piece. Not measured.
constexpr std::chrono::seconds k_caller_timeout{20};
/// Callers' connections that one traffic thread holds at once; each costs a coroutine's stack (k_stack). Not
/// measured.
constexpr std::size_t k_caller_connections = 4000;
/// Bytes of an answer that an entry VM reads ahead of a slow caller, so that the backend server's slot is
/// free before the caller has read all (docs/MEASUREMENTS.md, drain_backend).
constexpr std::size_t k_read_ahead = 8ULL * 1024 * 1024;
/// Bytes that all answers in one traffic thread may hold in read-ahead. More frees slots for more slow
/// callers at once and costs this memory for each thread. Not measured.
constexpr std::size_t k_read_ahead_total = 96ULL * 1024 * 1024;
/// Bytes of one piece of a streamed body. Larger costs memory for each streamed answer and saves calls. Not
/// measured.
constexpr std::size_t k_piece = 64ULL * 1024;
/// Bytes of an answer to a non-repeatable request that are kept for a second try; k_keys times this is the
/// most memory that keys can take. Not measured.
constexpr std::size_t k_kept_body = 16ULL * 1024;
/// Keys that one entry VM remembers at the same time; further ones are refused. Not measured.
constexpr std::size_t k_keys = 200000;
/// Retry tokens for each first try, and how many may be saved up. More recovers more lost tries and adds more
/// load while backend servers are slow (docs/MEASUREMENTS.md, retry_storm; other figures were not measured).
constexpr double k_retry_share = 0.1;
constexpr double k_retry_burst = 10.0;
/// Bytes of one coroutine's stack. Less risks an overflow, more costs memory for each connection. Not
/// measured.
constexpr std::size_t k_stack = 128ULL * 1024;
} // namespace larkrack
