// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Writes numbered events, one JSON object a line, through easylogging++.
#pragma once

#include "events_p.h"

#include <string>

namespace larkrack
{
/// Sets the log's place.
/// @param[in] _node Name that stands in each line.
/// @param[in] _file File to append to; empty: standard error.
void log_init(const std::string& _node, const std::string& _file);
/// Writes one event.
/// @param[in] _fields Object with further fields.
/// @remarks May be called from every thread.
void log_event(event _event, const nlohmann::json& _fields = nlohmann::json::object());
} // namespace larkrack
