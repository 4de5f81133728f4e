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
 * Collects measurements: each goes out at once as a JSON line, and all of a sweep in the end as a
 * table.
 */
final class Report {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Writer lines;
  private final PrintStream tables;
  private final List<Measurement> all = new ArrayList<>();
  private final Map<String, Double> budgets = new LinkedHashMap<>();

  /** Lines go to the writer, which stays the caller's to close, and tables to the stream. */
  Report(Writer lines, PrintStream tables) {
    this.lines = lines;
    this.tables = tables;
  }

  void add(Measurement measurement) {
    all.add(measurement);
    try {
      lines.write(JSON.writeValueAsString(measurement));
      lines.write('\n');
      lines.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** States the most that the target allows of a metric. */
  void budget(String metric, double most) {
    budgets.put(metric, most);
  }

  List<Measurement> all() {
    return List.copyOf(all);
  }

  /**
   * Prints a table of the sweep's medians, then the growth of each metric and where it passes its
   * budget.
   */
  void print(String sweep) {
    TreeMap<Double, Map<String, Measurement>> rows = new TreeMap<>();
    Map<String, List<Growth.Point>> columns = new LinkedHashMap<>();
    String parameter = "";
    String version = "";
    for (Measurement m : all) {
      if (m.sweep().equals(sweep)) {
        parameter = m.parameter();
        version = m.version();
        rows.computeIfAbsent(m.size(), s -> new LinkedHashMap<>()).put(m.metric(), m);
        columns
            .computeIfAbsent(m.metric(), c -> new ArrayList<>())
            .add(new Growth.Point(m.size(), m.median()));
      }
    }
    tables.printf(Locale.ROOT, "%n== %s, version %s, medians ==%n%-32s", sweep, version, parameter);
    rows.keySet().forEach(size -> tables.printf(Locale.ROOT, " %11s", number(size)));
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
                          row.containsKey(metric) ? number(row.get(metric).median()) : "-"));
          tables.println(points.size() < 2 ? "" : growth(metric, points));
        });
  }

  private String growth(String metric, List<Growth.Point> points) {
    Growth growth = Growth.fit(points);
    String text = String.format(Locale.ROOT, " %10.3g %8.2f", growth.slope(), growth.exponent());
    Double budget = budgets.get(metric);
    if (budget == null) {
      return text;
    }
    double crossing = Growth.crossing(points, budget);
    return text
        + " "
        + number(budget)
        + (Double.isNaN(crossing) ? " kept" : " passed at " + number(crossing));
  }

  private static String number(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e10
        ? Long.toString((long) value)
        : String.format(Locale.ROOT, "%.4g", value);
  }
}
