// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// History files with one JSON object per line. Callers and backend servers write them; larkrack-check reads
/// them.
/// Owns: the file that is written.
/// Relies on: nothing of larkrack. A file that cannot be opened reads as empty.
#pragma once

#include <nlohmann/json.hpp>

#include <fstream>
#include <string>
#include <vector>

namespace larkrack
{
/// Appends lines to a file. Not thread-safe.
class history_writer
{
public:
	/// @param[in] _path File to create or overwrite; empty: nothing is written.
	explicit history_writer(const std::string& _path);
	void write(const nlohmann::json& _line);
	void flush();

private:
	std::ofstream m_file;
};

/// @returns All lines of a file that are JSON objects; a truncated last line is skipped.
std::vector<nlohmann::json> read_history(const std::string& _path);
} // namespace larkrack
