package quotagateway.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Collects measurements. Each is written immediately as a JSON line, and the measurements of a
 * sweep are printed as a table at its end.
 */
final class Report {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Writer lines;
  private final PrintStream tables;
  private final List<Measurement> measurements = new ArrayList<>();
  private final Map<String, Double> budgets = new LinkedHashMap<>();

  /**
   * Creates a report.
   *
   * @param lines receives the JSON lines; the caller closes the writer
   * @param tables receives the tables
   */
  Report(Writer lines, PrintStream tables) {
    this.lines = lines;
    this.tables = tables;
  }

  void add(Measurement measurement) {
    measurements.add(measurement);
    try {
      lines.write(JSON.writeValueAsString(measurement));
      lines.write('\n');
      lines.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Sets the maximum value that the target allows for a metric. */
  void budget(String metric, double maximum) {
    budgets.put(metric, maximum);
  }

  List<Measurement> all() {
    return List.copyOf(measurements);
  }

  /**
   * Prints a table of the sweep's medians, with the growth of each metric and the size at which the
   * metric exceeds its budget.
   */
  void print(String sweep) {
    TreeMap<Double, Map<String, Measurement>> rows = new TreeMap<>();
    Map<String, List<Growth.Point>> columns = new LinkedHashMap<>();
    String parameter = "";
    String version = "";
    for (Measurement measurement : measurements) {
      if (measurement.sweep().equals(sweep)) {
        parameter = measurement.parameter();
        version = measurement.version();
        rows.computeIfAbsent(measurement.size(), s -> new LinkedHashMap<>())
            .put(measurement.metric(), measurement);
        columns
            .computeIfAbsent(measurement.metric(), c -> new ArrayList<>())
            .add(new Growth.Point(measurement.size(), measurement.median()));
      }
    }
    tables.printf(Locale.ROOT, "%n== %s, version %s, medians ==%n%-32s", sweep, version, parameter);
    rows.keySet().forEach(size -> tables.printf(Locale.ROOT, " %11s", formatNumber(size)));
    tables.printf(Locale.ROOT, " %10s %8s %s%n", "slope", "exponent", "budget");
    columns.forEach(
        (metric, points) -> {
          tables.printf(Locale.ROOT, "%-32s", metric);
          rows.values()
              .forEach(
                  row ->
                      tables.printf(
                          Locale.ROOT,
                          " %11s",
                          row.containsKey(metric) ? formatNumber(row.get(metric).median()) : "-"));
          tables.println(points.size() < 2 ? "" : formatGrowth(metric, points));
        });
  }

  private String formatGrowth(String metric, List<Growth.Point> points) {
    Growth growth = Growth.fit(points);
    String text = String.format(Locale.ROOT, " %10.3g %8.2f", growth.slope(), growth.exponent());
    Double budget = budgets.get(metric);
    if (budget == null) {
      return text;
    }
    double crossing = Growth.crossing(points, budget);
    return text
        + " "
        + formatNumber(budget)
        + (Double.isNaN(crossing) ? " met" : " exceeded at " + formatNumber(crossing));
  }

  private static String formatNumber(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e10
        ? Long.toString((long) value)
        : String.format(Locale.ROOT, "%.4g", value);
  }
}
