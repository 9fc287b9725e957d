// gbrcapacity: measures the cost slopes on which docs/CAPACITY.md is based.

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "control_costs.h"
#include "measurement.h"
#include "query_costs.h"
#include "slope_fit.h"

namespace {

using gooseberryrock::capacity::FitSlope;
using gooseberryrock::capacity::Measurement;
using gooseberryrock::capacity::Point;

void PrintMeasurement(const Measurement& measurement) {
  const auto fit = FitSlope(measurement.points);
  std::cout << std::left << std::setw(22) << measurement.name << std::right
            << std::setprecision(4) << std::setw(12) << fit.intercept << " + "
            << std::setw(9) << fit.slope << " (+-" << std::setw(9)
            << fit.slope_error << ") " << measurement.y_unit << " per "
            << measurement.x_unit << "; points";
  for (const Point& point : measurement.points) {
    std::cout << " " << point.x << ":" << point.y;
  }
  std::cout << "\n";
}

void WriteCsv(std::ostream& out, const Measurement& measurement) {
  const auto fit = FitSlope(measurement.points);
  for (const Point& point : measurement.points) {
    out << measurement.name << "," << point.x << "," << point.y << ","
        << fit.intercept << "," << fit.slope << "\n";
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<uint16_t> ports;
  std::string csv;
  CLI::App app("Measures the slopes that docs/CAPACITY.md builds on");
  app.add_option("--standin-ports", ports,
                 "Ports of stand-ins on 127.0.0.1; stand-in n serves shard sN");
  app.add_option("--csv", csv, "File for the points and fits");
  CLI11_PARSE(app, argc, argv);

  auto results = gooseberryrock::capacity::MeasureControlCosts();
  for (Measurement& it : gooseberryrock::capacity::MeasureCodecs()) {
    results.push_back(std::move(it));
  }
  if (!ports.empty()) {
    results.push_back(gooseberryrock::capacity::MeasureFanOut(ports));
  }
  for (const Measurement& measurement : results) {
    PrintMeasurement(measurement);
  }
  if (!csv.empty()) {
    std::ofstream out(csv);
    out << "name,x,y,intercept,slope\n";
    for (const Measurement& measurement : results) {
      WriteCsv(out, measurement);
    }
  }
  return EXIT_SUCCESS;
}
