// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Limits, deadlines and intervals that several modules of larkrackd share. Each constant documents its unit,
/// its trade-off, and the measurement that it is based on, if any. Queue wait and heartbeat interval can be
/// set at build time.
///
/// Owns: the values.
/// Relies on: nothing of larkrack.
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
/// Maximum time that a request waits in the queue of an owner before it is refused. A longer wait serves more
/// requests in a peak and delays refusals, which should take less than 50 ms (docs/MEASUREMENTS.md, Beside
/// the plain ways).
constexpr std::chrono::milliseconds k_max_queue_wait{LARKRACK_CONFIG_QUEUE_WAIT_MS};
/// Interval between two heartbeats of an entry VM in a small fleet. A shorter interval detects failures
/// sooner and costs messages (docs/CAPACITY.md).
constexpr std::chrono::milliseconds k_heartbeat_interval{LARKRACK_CONFIG_HEARTBEAT_MS};
/// Maximum age of a backend server's load report; with older reports the node enters the mode
/// stale_measurements. A lower value enters the mode sooner, and flaps when a probe is late.
constexpr std::chrono::milliseconds k_max_load_report_age{16 * LARKRACK_CONFIG_HEARTBEAT_MS};
/// Maximum number of peers of its own failure domain to which a node sends each heartbeat. A higher value
/// spreads updates faster and costs bytes (docs/CAPACITY.md).
constexpr std::size_t k_heartbeat_fanout = 4;
/// Number of nodes of each failure domain that exchange updates with other failure domains. Two, so that one
/// may be down.
constexpr std::size_t k_delegates = 2;
/// Number of nodes of each failure domain that watch the store. Two, so that one may be down; each costs the
/// calls counted in docs/CAPACITY.md.
constexpr std::size_t k_readers = 2;
/// Deadline of one call to the store. A longer deadline tolerates a slow store; a shorter one detects an
/// outage sooner.
constexpr std::chrono::milliseconds k_platform_deadline{1500};
/// Initial and maximum limit of the backoff between two calls to a failing store. The pause is random between
/// 0 and a limit that doubles with each attempt (full jitter). For the peak of calls after an outage see
/// docs/CAPACITY.md (Calls to the platform).
constexpr std::chrono::milliseconds k_initial_store_backoff{200};
constexpr std::chrono::milliseconds k_max_store_backoff{10000};
/// Deadline of a request when neither the caller nor the service specifies one.
constexpr std::chrono::milliseconds k_default_deadline{10000};
/// Maximum time that a request may occupy a slot of a backend server, unless its service configures another
/// one. A new owner treats all slots as occupied for this time plus k_clock_skew.
constexpr std::chrono::milliseconds k_default_run_limit{2000};
/// Assumed maximum difference between the wall clocks of any two VMs. A larger value keeps slots of a former
/// owner occupied for longer; a smaller one risks more running requests than slots.
constexpr std::chrono::milliseconds k_clock_skew{100};
/// Minimum gap between two ticks of the control thread that counts as a pause of the process. Other nodes may
/// have taken over its backend servers in the meantime (docs/MEASUREMENTS.md, paused_holder).
constexpr std::chrono::milliseconds k_process_pause_threshold{2000};
/// Interval between two ticks of the control thread. A shorter interval frees slots and detects pauses
/// sooner, and costs CPU time.
constexpr std::chrono::milliseconds k_control_tick_interval{50};
/// Lifetime of a grant, and thereby the time for which an idempotency key is remembered. A longer time costs
/// memory for each key (k_max_keys).
constexpr std::chrono::seconds k_grant_lifetime{60};
/// Time for which callers may cache a look-up. A longer time saves look-ups, but callers keep using an entry
/// VM that is stopping for longer.
constexpr std::chrono::milliseconds k_lookup_ttl{1000};
/// Maximum size of the header and of the body of a caller's request, in bytes.
constexpr std::uint32_t k_header_limit = 16ULL * 1024;
constexpr std::uint64_t k_body_limit = 8ULL * 1024 * 1024;
/// Timeout for a caller to send the header of a request, and for each further read from or write to the
/// caller.
constexpr std::chrono::seconds k_caller_timeout{20};
/// Maximum number of open connections of callers for each traffic thread; each costs a coroutine stack
/// (k_coroutine_stack_size).
constexpr std::size_t k_caller_connections = 4000;
/// Maximum number of bytes of a response that an entry VM reads ahead of a slow caller, so that the slot of
/// the backend server becomes free before the caller has read everything (docs/MEASUREMENTS.md,
/// drain_backend).
constexpr std::size_t k_max_read_ahead = 8ULL * 1024 * 1024;
/// Maximum number of bytes that all responses of one traffic thread hold in read-ahead buffers. A higher
/// value frees slots for more slow callers at the same time, and costs this memory for each thread.
constexpr std::size_t k_max_total_read_ahead = 96ULL * 1024 * 1024;
/// Buffer size for streaming a body, in bytes. A larger buffer costs memory for each streamed response and
/// saves system calls.
constexpr std::size_t k_piece = 64ULL * 1024;
/// Maximum size of a response to a non-repeatable request that is kept for retries by the caller, in bytes.
/// Kept responses take at most k_max_keys times this memory.
constexpr std::size_t k_max_kept_body = 16ULL * 1024;
/// Maximum number of idempotency keys that one entry VM remembers; requests with further keys are refused.
constexpr std::size_t k_max_keys = 200000;
/// Retry tokens earned by each first attempt, and maximum number of saved tokens. Higher values recover more
/// failed attempts and add more load while backend servers are slow (docs/MEASUREMENTS.md, retry_storm, for
/// these values only).
constexpr double k_retry_tokens_per_request = 0.1;
constexpr double k_max_retry_tokens = 10.0;
/// Stack size of a coroutine, in bytes. A smaller stack risks an overflow; a larger one costs memory for each
/// connection.
constexpr std::size_t k_coroutine_stack_size = 128ULL * 1024;
} // namespace larkrack
