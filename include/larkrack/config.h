// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Named constants. Each can be overridden by a definition of its macro at build time.
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
/// Longest stay of a request in the queue of an owner before it is refused.
constexpr std::chrono::milliseconds k_queue_wait{LARKRACK_CONFIG_QUEUE_WAIT_MS};
/// Time between two heartbeats of an entry VM.
constexpr std::chrono::milliseconds k_heartbeat_interval{LARKRACK_CONFIG_HEARTBEAT_MS};
/// A peer that is silent for this long is suspected.
constexpr std::chrono::milliseconds k_suspect_after{4 * LARKRACK_CONFIG_HEARTBEAT_MS};
/// Peers of its own failure domain that one heartbeat round is sent to, at most.
constexpr std::size_t k_heartbeat_fanout = 4;
/// Members of each failure domain that exchange summaries with the other failure domains.
constexpr std::size_t k_delegates = 2;
/// Members of each failure domain that hold a watch on the platform.
constexpr std::size_t k_readers = 2;
/// Deadline of one call to the platform.
constexpr std::chrono::milliseconds k_platform_deadline{1500};
/// First and last pause between two tries at the platform.
constexpr std::chrono::milliseconds k_backoff_first{200};
constexpr std::chrono::milliseconds k_backoff_last{10000};
/// Deadline of a request when neither the caller nor the service names one.
constexpr std::chrono::milliseconds k_default_deadline{10000};
/// Longest time a request may occupy a slot of a backend server, unless its service says otherwise.
constexpr std::chrono::milliseconds k_default_run_limit{2000};
/// Difference of clocks that is assumed between an entry VM and a backend server.
constexpr std::chrono::milliseconds k_clock_skew{100};
/// A gap between two ticks of the control thread above this counts as a pause of the process.
constexpr std::chrono::milliseconds k_pause_gap{2000};
/// Time between two ticks of the control thread.
constexpr std::chrono::milliseconds k_tick{50};
/// Life of a grant.
constexpr std::chrono::seconds k_grant_life{60};
/// Life of a caller's copy of a look-up.
constexpr std::chrono::milliseconds k_lookup_ttl{1000};
/// Limits of a caller's request.
constexpr std::uint32_t k_header_limit = 16ULL * 1024;
constexpr std::uint64_t k_body_limit = 8ULL * 1024 * 1024;
/// Longest time a caller may take to send a head, or to send or read on by one piece.
constexpr std::chrono::seconds k_caller_timeout{20};
/// Callers' connections that one traffic thread holds at once.
constexpr std::size_t k_caller_connections = 4000;
/// Bytes of an answer that an entry VM reads ahead of a slow caller.
constexpr std::size_t k_read_ahead = 8ULL * 1024 * 1024;
/// Bytes that all answers in one traffic thread may hold in read-ahead.
constexpr std::size_t k_read_ahead_total = 96ULL * 1024 * 1024;
/// Size of one piece of a streamed body.
constexpr std::size_t k_piece = 64ULL * 1024;
/// Answers of non-repeatable requests up to this size are kept for a second try.
constexpr std::size_t k_kept_body = 16ULL * 1024;
/// Keys that one entry VM remembers at the same time.
constexpr std::size_t k_keys = 200000;
/// Share of first tries that may be spent on retries, and the burst.
constexpr double k_retry_share = 0.1;
constexpr double k_retry_burst = 10.0;
/// Stack of one coroutine.
constexpr std::size_t k_stack = 128ULL * 1024;
} // namespace larkrack
