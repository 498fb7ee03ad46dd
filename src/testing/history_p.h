// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Histories: one JSON object a line, written by callers and by backend servers, read by larkrack-check.
/// Owns: the file that it writes. Relies on: nothing. A file that can not be opened reads as empty.
#pragma once

#include <nlohmann/json.hpp>

#include <fstream>
#include <string>
#include <vector>

namespace larkrack
{
/// Appends lines to a file. One thread.
class history_writer
{
public:
	/// @param[in] _path File to write anew; empty: nothing is written.
	explicit history_writer(const std::string& _path);
	void write(const nlohmann::json& _line);
	void flush();

private:
	std::ofstream m_file;
};

/// @returns All lines of a file. A last line that was cut short is left out.
std::vector<nlohmann::json> read_history(const std::string& _path);
} // namespace larkrack
