// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Plots of an experiment as SVG.

#include "larkrack_load_p.h"

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace larkrack
{
namespace
{
constexpr double k_width = 860.0;
constexpr double k_height = 260.0;
constexpr double k_left = 60.0;
constexpr double k_bottom = 40.0;
constexpr int k_grid = 5;
constexpr std::int64_t k_bin_us = 250000;
const char* const k_colours[] = {"#2a7de1", "#d9480f", "#2b8a3e", "#862e9c", "#5c677d", "#c2255c"};

using series = std::map<std::string, std::map<std::int64_t, double>>;

double highest(const series& _lines)
{
	double top = 1e-9;
	for (const auto& [name, points] : _lines)
	{
		for (const auto& [at, value] : points)
		{
			top = std::max(top, value);
		}
	}
	return top;
}

std::string text_at(
    double _x, double _y, const std::string& _text, const char* _anchor, const char* _colour = "#51606f")
{
	char line[400];
	std::snprintf(line, sizeof(line),
	    "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\" fill=\"%s\" font-size=\"12\">%s</text>\n", _x, _y,
	    _anchor, _colour, _text.c_str());
	return line;
}

/// Writes one plot: lines over seconds.
void write_plot(const std::string& _file, const std::string& _title, const series& _lines, std::int64_t _bins)
{
	const double top = highest(_lines) * 1.05;
	const auto x_of = [&](std::int64_t _bin)
	{
		return k_left + (k_width - k_left - 130.0) * static_cast<double>(_bin) /
		                    static_cast<double>(std::max<std::int64_t>(1, _bins));
	};
	const auto y_of = [&](double _value)
	{
		return k_height - k_bottom - (k_height - k_bottom - 30.0) * _value / top;
	};
	std::ofstream out(_file);
	out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << k_width << "\" height=\"" << k_height
	    << "\" font-family=\"sans-serif\"><rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
	out << text_at(k_left, 18, _title, "start", "#1d2733");
	for (int line = 0; line <= k_grid; ++line)
	{
		const double value = top * line / k_grid;
		char label[32];
		std::snprintf(label, sizeof(label), "%.3g", value);
		out << "<line x1=\"" << k_left << "\" x2=\"" << k_width - 130 << "\" y1=\"" << y_of(value)
		    << "\" y2=\"" << y_of(value) << "\" stroke=\"#dfe5eb\"/>\n"
		    << text_at(k_left - 6, y_of(value) + 4, label, "end");
		const std::int64_t bin = _bins * line / k_grid;
		std::snprintf(label, sizeof(label), "%.1f s", static_cast<double>(bin * k_bin_us) / 1e6);
		out << text_at(x_of(bin), k_height - k_bottom + 18, label, "middle");
	}
	std::size_t number = 0;
	for (const auto& [name, points] : _lines)
	{
		const char* colour = k_colours[number % (sizeof(k_colours) / sizeof(k_colours[0]))];
		out << "<polyline fill=\"none\" stroke-width=\"1.6\" stroke=\"" << colour << "\" points=\"";
		for (const auto& [at, value] : points)
		{
			out << x_of(at) << "," << y_of(value) << " ";
		}
		out << "\"/>\n"
		    << text_at(k_width - 122, 40.0 + 18.0 * static_cast<double>(number), name, "start", colour);
		++number;
	}
	out << "</svg>\n";
}
} // namespace

void write_plots(const std::vector<nlohmann::json>& _lines, const deployment& _deployment,
    std::int64_t _from_us, std::int64_t _to_us, const std::string& _folder)
{
	const std::int64_t bins = (_to_us - _from_us) / k_bin_us;
	std::map<std::int64_t, std::vector<double>> latencies;
	series shares;
	std::map<std::int64_t, double> started;
	series outcomes;
	std::map<std::string, std::map<std::int64_t, double>> busy;
	for (const nlohmann::json& line : _lines)
	{
		const std::string type = line.value("type", "");
		if ("request" == type)
		{
			const std::int64_t bin = (line["t1"].get<std::int64_t>() - _from_us) / k_bin_us;
			const std::string outcome = line.value("outcome", "");
			outcomes[outcome][bin] += 1e6 / k_bin_us;
			if ("served" == outcome)
			{
				latencies[bin].push_back(
				    static_cast<double>(line["t1"].get<std::int64_t>() - line["t0"].get<std::int64_t>()) /
				    1000.0);
			}
		}
		if ("run" == type)
		{
			const std::string region = _deployment.region_of_backend(line.value("backend", ""));
			const auto start = line["start"].get<std::int64_t>();
			const auto end = line["end"].get<std::int64_t>();
			shares[region][(start - _from_us) / k_bin_us] += 1.0;
			started[(start - _from_us) / k_bin_us] += 1.0;
			for (std::int64_t bin = std::max<std::int64_t>(0, (start - _from_us) / k_bin_us);
			     bin <= (end - _from_us) / k_bin_us; ++bin)
			{
				const std::int64_t from = std::max(start, _from_us + bin * k_bin_us);
				const std::int64_t to = std::min(end, _from_us + (bin + 1) * k_bin_us);
				busy[region][bin] += static_cast<double>(std::max<std::int64_t>(0, to - from)) / k_bin_us;
			}
		}
	}
	series latency;
	for (auto& [bin, values] : latencies)
	{
		std::sort(values.begin(), values.end());
		latency["p50"][bin] = values[values.size() / 2];
		latency["p99"][bin] = values[values.size() * 99 / 100];
	}
	for (auto& [region, points] : shares)
	{
		for (auto& [bin, value] : points)
		{
			value /= std::max(1.0, started[bin]);
		}
	}
	std::map<std::string, double> slots;
	for (const auto& [backend, domain] : _deployment.domain_of_backend)
	{
		for (const deployed_service& service : _deployment.services)
		{
			if (0 == backend.rfind(service.name + "-", 0))
			{
				slots[_deployment.region_of_backend(backend)] += service.slots;
			}
		}
	}
	series headroom;
	for (const auto& [region, points] : busy)
	{
		for (std::int64_t bin = 0; bin <= bins; ++bin)
		{
			const auto it = points.find(bin);
			headroom[region][bin] =
			    1.0 - (points.end() == it ? 0.0 : it->second) / std::max(1.0, slots[region]);
		}
	}
	write_plot(_folder + "/latency.svg", "Latency of served requests, ms", latency, bins);
	write_plot(_folder + "/shares.svg", "Share of new work by region", shares, bins);
	write_plot(_folder + "/headroom.svg", "Free part of the slots by region", headroom, bins);
	write_plot(_folder + "/outcomes.svg", "Outcomes a second", outcomes, bins);
}
} // namespace larkrack
