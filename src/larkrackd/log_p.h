// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Log of larkrackd and its tools: numbered events, one JSON object per line, through easylogging++.
///
/// Owns: the node's name and the destination of the log, set once by log_init.
/// Relies on: events_p.h for numbers, names and severities. A write may block on the file or on the reader of
/// standard output. The log of larkrack-edge never blocks: one thread carries all traffic there, so that log
/// drops lines and counts them, and builds lines without a JSON document or a library to save memory
/// (docs/PLATFORM.md).
#pragma once

#include "base/events_p.h"

#include <string>

namespace larkrack
{
/// Sets the destination of the log.
/// @param[in] _node Name of the node that is written to each line.
/// @param[in] _file File to append to; empty: standard output.
void log_init(const std::string& _node, const std::string& _file);
/// Writes one event.
/// @param[in] _fields JSON object with additional fields.
/// @remarks May be called from any thread.
void log_event(event _event, const nlohmann::json& _fields = nlohmann::json::object());
} // namespace larkrack
