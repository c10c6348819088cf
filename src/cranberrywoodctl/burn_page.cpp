#include "cranberrywoodctl/burn_page.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace cranberrywood::ctl {

namespace {

constexpr double label_width = 300;
constexpr double plot_width = 560;
constexpr double bar_height = 8;
constexpr double row_height = 34;
// The plot's scale is logarithmic over these burn rates.
constexpr double least_burn = 0.1;
constexpr double most_burn = 1000;

/** One budget: how its bars look and where its burn stands. */
struct budget
{
    const char* name;
    const char* colour;
    burn_rate burn_row::*burn;
};

constexpr std::array<budget, 3> budgets = {
    {{"latency", "#3366aa", &burn_row::latency},
     {"coverage", "#dd8822", &burn_row::coverage},
     {"refusals", "#aa3355", &burn_row::refusals}}};

std::string escaped(const std::string& text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

std::string label_of(const burn_row& row)
{
    return escaped(row.workspace + " / " + row.service + ", " +
                   window_text(row.window_seconds));
}

double position_of(double burn)
{
    const double shown = std::clamp(burn, least_burn, most_burn);
    return plot_width * std::log10(shown / least_burn) /
           std::log10(most_burn / least_burn);
}

void draw_scale(std::ostringstream& out, double height)
{
    for (const double burn : {0.1, 1.0, 10.0, 100.0, 1000.0}) {
        const double x = label_width + position_of(burn);
        out << "<line x1=\"" << x << "\" x2=\"" << x << "\" y1=\"20\" y2=\""
            << height << "\" stroke=\"" << (burn == 1.0 ? "#000" : "#ccc")
            << "\"/><text x=\"" << x << "\" y=\"14\" text-anchor=\"middle\">"
            << burn << "</text>\n";
    }
}

void draw_row(std::ostringstream& out, const burn_row& row, double y)
{
    out << "<text x=\"" << label_width - 8 << "\" y=\"" << y + 18
        << "\" text-anchor=\"end\">" << label_of(row) << "</text>\n";
    for (const auto& each : budgets) {
        if (const auto& burn = row.*each.burn) {
            out << "<rect x=\"" << label_width << "\" y=\"" << y
                << "\" width=\"" << position_of(*burn) << "\" height=\""
                << bar_height << "\" fill=\"" << each.colour << "\"><title>"
                << each.name << ' ' << *burn << "</title></rect>\n";
        }
        y += bar_height + 1;
    }
}

void draw_plot(std::ostringstream& out, const std::vector<burn_row>& rows)
{
    const double height = 30 + row_height * static_cast<double>(rows.size());
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
        << label_width + plot_width + 40 << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n";
    draw_scale(out, height);
    double y = 24;
    for (const auto& row : rows) {
        draw_row(out, row, y);
        y += row_height;
    }
    out << "</svg>\n";
}

void write_table(std::ostringstream& out, const std::vector<burn_row>& rows)
{
    out << "<table><tr><th>workspace</th><th>service</th><th>window</th>"
           "<th>requests</th>";
    for (const auto& each : budgets) {
        out << "<th style=\"color:" << each.colour << "\">" << each.name
            << "</th>";
    }
    out << "</tr>\n";
    for (const auto& row : rows) {
        out << "<tr><td>" << escaped(row.workspace) << "</td><td>"
            << escaped(row.service) << "</td><td>"
            << window_text(row.window_seconds) << "</td><td>"
            << row.counts.requests << "</td>";
        for (const auto& each : budgets) {
            const auto& burn = row.*each.burn;
            out << "<td>";
            if (burn) {
                out << *burn;
            }
            out << "</td>";
        }
        out << "</tr>\n";
    }
    out << "</table>\n";
}

} // namespace

std::string burn_page(const std::vector<burn_row>& rows)
{
    std::ostringstream out;
    out.precision(3);
    out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
           "<title>Service-level burn</title>\n<style>body{font-family:"
           "sans-serif}td,th{padding:2px 10px;text-align:right}</style>"
           "</head><body>\n<h1>Service-level burn</h1>\n"
           "<p>1 uses up the error budget exactly; more uses it up faster. "
           "The scale is logarithmic.</p>\n";
    draw_plot(out, rows);
    write_table(out, rows);
    out << "</body></html>\n";
    return out.str();
}

} // namespace cranberrywood::ctl
