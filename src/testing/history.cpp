// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "testing/history_p.h"

namespace larkrack
{
history_writer::history_writer(const std::string& _path)
{
	if (!_path.empty())
	{
		m_file.open(_path, std::ios::trunc);
	}
}

void history_writer::write(const nlohmann::json& _line)
{
	if (m_file.is_open())
	{
		m_file << _line.dump() << '\n';
	}
}

void history_writer::flush()
{
	m_file.flush();
}

std::vector<nlohmann::json> read_history(const std::string& _path)
{
	std::vector<nlohmann::json> lines;
	std::ifstream file(_path);
	std::string text;
	while (std::getline(file, text))
	{
		nlohmann::json line = nlohmann::json::parse(text, nullptr, false);
		if (line.is_object())
		{
			lines.push_back(std::move(line));
		}
	}
	return lines;
}
} // namespace larkrack
