// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Choice by count: the rule of backend_choice_p.h that compares numbers of requests. No state.
///
/// Inputs: the estimated load of each candidate (load_estimate_p.h) and this node's portion of the slots.
///
/// Algorithm: a key's own backend servers are the first `k_min_backends_per_key +
/// ceil(k_backends_per_key_share * fraction * servers)` in rendezvous hashing order; others take the key
/// while they are nearly idle (k_max_idle_load of their slots). A backend server has a free slot if it has
/// fewer requests than slots (k_preferred_depth times the slots at the first backend server of a key), or
/// fewer requests of this node than its own portion.
///
/// Alternatives: completion_choice_p.h, which counts time.
#pragma once

#include "steering/backend_choice_p.h"

namespace larkrack
{
/// Minimum number of backend servers for each key; k_backends_per_key_share adds to it. Higher values spread
/// a burst of one key, lower values keep it where it is cached (docs/DESIGN.md, "Direct sending").
constexpr double k_min_backends_per_key = 1.0;
/// Backend servers of a key relative to the number that the key's requests would fill if all requests were
/// alike (a ratio). 0: frequent keys queue; higher values send their requests to backend servers that have
/// not cached them (docs/DESIGN.md, "Keys", "share counted once").
constexpr double k_backends_per_key_share = 1.0;
/// Fraction of its slots up to which a backend server accepts keys that are not its own. Higher values start
/// requests sooner, lower values preserve what the backend server has cached (docs/DESIGN.md,
/// "Keys").
constexpr double k_max_idle_load = 0.2;
/// Maximum number of requests at the first backend server of a key, as a multiple of its slots: a short wait
/// at a backend server that has cached the key is faster than an immediate start at one that has not. Lower
/// values run keys cold elsewhere, higher values make requests wait where slots are few (docs/DECISIONS.md).
constexpr double k_preferred_depth = 1.7;

/// Compares numbers of requests.
class count_choice : public backend_choice_rule_base
{
public:
	double load_rank(const backend_state& _backend, steady_time _now) const override;
	std::size_t own_servers(const backend_query& _query, std::size_t _candidates) const override;
	ranked_backend next(
	    choice_progress& _progress, const backend_query& _query, steady_time _now) const override;
	bool accepts_other_keys(const backend_state& _backend, steady_time _now) const override;
	bool has_slot(
	    const ranked_backend& _candidate, const backend_query& _query, steady_time _now) const override;
	bool charge_run(const ranked_backend& _candidate, const backend_query& _query, steady_time _now) override;
	backend_choice_reason reason_for_other_key() const override;
};
} // namespace larkrack
