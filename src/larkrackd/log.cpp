// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/log_p.h"

#include <chrono>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace larkrack
{
namespace
{
std::string s_node;
}

void log_init(const std::string& _node, const std::string& _file)
{
	s_node = _node;
	el::Configurations settings;
	settings.setToDefault();
	settings.setGlobally(el::ConfigurationType::Format, "%msg");
	settings.setGlobally(el::ConfigurationType::ToFile, _file.empty() ? "false" : "true");
	settings.setGlobally(el::ConfigurationType::ToStandardOutput, _file.empty() ? "true" : "false");
	if (!_file.empty())
	{
		settings.setGlobally(el::ConfigurationType::Filename, _file);
	}
	el::Loggers::reconfigureAllLoggers(settings);
}

void log_event(event _event, const nlohmann::json& _fields)
{
	const event_info& info = info_of(_event);
	const auto now = std::chrono::system_clock::now().time_since_epoch();
	nlohmann::json line = _fields;
	line["t_us"] = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
	line["node"] = s_node;
	line["event"] = static_cast<int>(info.id);
	line["name"] = info.name;
	const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
	switch (info.weight)
	{
	case severity::info:
		LOG(INFO) << text;
		break;
	case severity::warning:
		LOG(WARNING) << text;
		break;
	case severity::error:
		LOG(ERROR) << text;
		break;
	}
}
} // namespace larkrack
