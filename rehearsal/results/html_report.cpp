#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

#include "results/report.hpp"

namespace gannethold::rehearsal {
namespace {

constexpr double kWide = 900, kHigh = 180, kLeft = 56, kTop = 16;
constexpr const char* kColours[] = {"#1b6ca8", "#c4572e", "#3f8f4f", "#8a5aa8",
                                    "#b08a1e", "#2f8f93", "#a84a72", "#6b6b6b"};

std::string escaped(const std::string& text) {
    std::string out;
    for (const char c : text)
        out += c == '<' ? "&lt;" : c == '>' ? "&gt;" : c == '&' ? "&amp;" : std::string(1, c);
    return out;
}

struct Line {
    std::string name, colour;
    std::vector<double> values;
    bool dashed = false;
};

// One plot over the day's seconds, with its troubles shaded.
void plot(std::ostream& out, const Result& r, const std::string& title, const std::vector<Line>& lines,
          const std::string& unit) {
    const std::size_t n = r.seconds.size();
    double most = 0;
    for (const Line& l : lines)
        for (const double v : l.values) most = std::max(most, v);
    if (most <= 0) most = 1;
    const auto x = [&](double second) {
        return kLeft + second / static_cast<double>(std::max<std::size_t>(1, n)) * (kWide - kLeft - 8);
    };
    const auto y = [&](double v) { return kTop + (1 - v / most) * (kHigh - kTop - 20); };
    out << "<h3>" << escaped(title) << "</h3><svg viewBox='0 0 " << kWide << ' ' << kHigh
        << "' role='img' aria-label='" << escaped(title) << "'>";
    for (const Shade& s : r.shades) {
        const double from = x(static_cast<double>(s.from) / 1e6), to = x(static_cast<double>(s.to) / 1e6);
        out << "<rect class='f' x='" << from << "' y='" << kTop << "' width='" << std::max(2.0, to - from)
            << "' height='" << kHigh - kTop - 20 << "'><title>" << escaped(s.what)
            << "</title></rect><text class='t' x='" << from + 3 << "' y='" << kTop + 10 << "'>"
            << escaped(s.what) << "</text>";
    }
    for (int i = 0; i <= 2; ++i) {
        const double v = most * i / 2;
        out << "<line class='g' x1='" << kLeft << "' x2='" << kWide - 8 << "' y1='" << y(v) << "' y2='"
            << y(v) << "'/><text class='a' x='" << kLeft - 6 << "' y='" << y(v) + 4 << "'>"
            << std::setprecision(3) << v << "</text>";
    }
    for (std::size_t i = 0; i <= n; i += std::max<std::size_t>(1, n / 10))
        out << "<text class='b' x='" << x(static_cast<double>(i)) << "' y='" << kHigh - 4 << "'>" << i
            << " s</text>";
    for (const Line& l : lines) {
        out << "<polyline fill='none' stroke='" << l.colour << "' stroke-width='1.6'"
            << (l.dashed ? " stroke-dasharray='5 3'" : "") << " points='";
        for (std::size_t i = 0; i < l.values.size(); ++i)
            out << x(static_cast<double>(i) + 0.5) << ',' << y(l.values[i]) << ' ';
        out << "'><title>" << escaped(l.name) << "</title></polyline>";
    }
    out << "</svg><p class='k'>";
    for (const Line& l : lines)
        out << "<span style='color:" << l.colour << "'>" << (l.dashed ? "- - " : "&mdash; ")
            << escaped(l.name) << "</span> ";
    out << "(" << unit << ")</p>";
}

template <class Of>
std::vector<double> over(const Result& r, Of of) {
    std::vector<double> values;
    for (const Second& s : r.seconds) values.push_back(of(s));
    return values;
}

// By runner; of a large fleet the ones that differ most from the mean, and what the rest have on average.
std::vector<Line> by_runner(const Result& r, std::vector<double> Second::*what) {
    std::vector<std::pair<double, std::size_t>> order;
    for (std::size_t i = 0; i < r.runners.size(); ++i) {
        double least = HUGE_VAL, most = 0;
        for (const Second& s : r.seconds)
            if (i < (s.*what).size())
                least = std::min(least, (s.*what)[i]), most = std::max(most, (s.*what)[i]);
        order.emplace_back(-(most - least), i);
    }
    std::stable_sort(order.begin(), order.end());
    std::vector<Line> lines;
    for (std::size_t k = 0; k < order.size() && k < std::size(kColours); ++k) {
        const std::size_t i = order[k].second;
        lines.push_back({r.runners[i], kColours[k], over(r, [&](const Second& s) {
                             return i < (s.*what).size() ? (s.*what)[i] : 0.0;
                         })});
    }
    if (order.size() > lines.size())
        lines.push_back({"mean of all", "#222",
                         over(r,
                              [&](const Second& s) {
                                  double sum = 0;
                                  for (const double v : s.*what) sum += v;
                                  return (s.*what).empty() ? 0 : sum / static_cast<double>((s.*what).size());
                              }),
                         true});
    return lines;
}

}  // namespace

std::string to_html(const std::vector<Result>& results) {
    std::ostringstream out;
    out << "<!doctype html><html lang='en'><meta charset='utf-8'><meta name='viewport' "
           "content='width=device-width'><title>Rehearsal</title><style>"
           "body{font:15px/1.45 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 "
           "1rem;color:#222}svg{width:100%;height:auto;background:#fafafa}"
           ".f{fill:#d9534f;opacity:.13}.t{font-size:10px;fill:#a33}.g{stroke:#ddd}.a{font-size:10px;text-"
           "anchor:end;fill:#555}.b{font-size:10px;text-anchor:middle;fill:#555}"
           ".k{font-size:13px;margin:.2rem 0 1rem}h3{margin:.6rem 0 "
           ".2rem;font-size:1rem}pre{background:#f4f4f4;padding:.8rem;overflow:auto;font-size:13px}"
           "section{border-top:1px solid #ccc;margin-top:2rem}</style><h1>Rehearsal</h1><pre>";
    std::ostringstream table;
    write_table(table, results);
    out << escaped(table.str()) << "</pre>";
    for (const Result& r : results) {
        out << "<section><h2>" << escaped(r.day) << ", " << r.lane << ", " << escaped(r.policy) << ", seed "
            << r.seed << "</h2>";
        plot(out, r, "Goodput",
             {{"asked for", "#999", over(r, [](const Second& s) { return static_cast<double>(s.offered); }),
               true},
              {"in time", kColours[2],
               over(r, [](const Second& s) { return static_cast<double>(s.in_time); })},
              {"late", kColours[4], over(r, [](const Second& s) { return static_cast<double>(s.late); })},
              {"bounced", kColours[1],
               over(r, [](const Second& s) { return static_cast<double>(s.bounced); })},
              {"abandoned or lost", kColours[3],
               over(r, [](const Second& s) { return static_cast<double>(s.abandoned + s.lost); })}},
             "tasks a second, by when they were asked for");
        plot(
            out, r, "Latency",
            {{"p50", kColours[0], over(r, [](const Second& s) { return static_cast<double>(s.p50) / 1e3; })},
             {"p99", kColours[1], over(r, [](const Second& s) { return static_cast<double>(s.p99) / 1e3; })}},
            "ms, from the intended start");
        plot(out, r, "In flight", by_runner(r, &Second::in_flight), "jobs at each runner");
        const bool told = std::any_of(r.seconds.begin(), r.seconds.end(), [](const Second& s) {
            return std::any_of(s.fractions.begin(), s.fractions.end(), [](double f) { return f > 0; });
        });
        if (told) plot(out, r, "Fractions", by_runner(r, &Second::fractions), "mean over the dispatchers");
        std::ostringstream stories;
        write_stories(stories, r);
        if (!stories.str().empty()) out << "<h3>Rules broken</h3><pre>" << escaped(stories.str()) << "</pre>";
        out << "</section>";
    }
    out << "</html>\n";
    return out.str();
}

}  // namespace gannethold::rehearsal
