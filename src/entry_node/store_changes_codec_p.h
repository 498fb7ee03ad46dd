// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// CBOR codec of the messages by which nodes replicate the store's keys among each other: changes in
/// datagrams, and pages of all keys.
///
/// Owns nothing. Relies on state_replica_p.h for the contents.
#pragma once

#include "entry_node/state_replica_p.h"

#include <cstdint>
#include <vector>

namespace larkrack
{
/// @returns The changes as CBOR.
std::vector<std::uint8_t> encode(const store_changes& _changes);
/// @returns The changes, or the error "bad_changes" when the bytes are not valid.
result<store_changes> decode_store_changes(const std::uint8_t* _data, std::size_t _size);
/// Removes puts of a key from a batch that are too large for a datagram, so that they do not delay the other
/// changes: the other changes are sent at once, and the receivers request the large value separately.
/// @returns Whether any put was removed.
bool remove_if_oversized(watch_batch& _batch, const std::string& _key);
/// Splits changes into parts that fit into a datagram each.
/// @returns The parts in order; empty when a single value is too large.
std::vector<store_changes> split_for_datagrams(const store_changes& _changes);
/// @returns The page as CBOR.
std::vector<std::uint8_t> encode(const state_page& _page);
/// @param[in] _after Key after which the page was requested to begin.
/// @returns The page, or the error "bad_page" when the bytes are not a valid page or its keys are out of
/// order.
result<state_page> decode_state_page(const std::vector<std::uint8_t>& _bytes, const std::string& _after);
} // namespace larkrack
