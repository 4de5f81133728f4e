package quotagateway.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Option;
import picocli.CommandLine.TypeConversionException;
import quotagateway.testing.GatewayProcess;

/** The command of the soak; deploy/soak.sh builds the jar and starts it. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description =
        "Plays seeded runs of real gateway processes and checks the rules of the service.")
public final class SoakCommand implements Callable<Integer> {

  private static final int EXIT_VIOLATION = 1;
  private static final int EXIT_NOT_RUN = 3;

  /** Seeds, the first and the last of them included. */
  record SeedRange(long first, long last) {}

  /** Reads {@code 7} and {@code 1-50}. */
  static final class SeedRangeConverter implements ITypeConverter<SeedRange> {
    @Override
    public SeedRange convert(String value) {
      String[] ends = value.split("-", 2);
      try {
        SeedRange range =
            new SeedRange(Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]));
        if (range.first <= range.last) {
          return range;
        }
      } catch (NumberFormatException e) {
        // Told below, as for any other value that is no range.
      }
      throw new TypeConversionException("'" + value + "' is no range such as 1-50");
    }
  }

  @Option(
      names = "--seeds",
      defaultValue = "1-50",
      converter = SeedRangeConverter.class,
      description = "Seeds to play, such as 7 or 1-50 (${DEFAULT-VALUE}).")
  private SeedRange seeds;

  @Option(
      names = "--minutes",
      defaultValue = "60",
      description = "No further seed is begun after so long (${DEFAULT-VALUE}).")
  private double minutes;

  @Option(
      names = "--late-copies",
      description =
          "Second copies of responses come some milliseconds behind the first. Of those that come"
              + " later than the gateway waits, not all can be told from the next response.")
  private boolean lateCopies;

  @Option(names = "--out", description = "Folder for a report of each seed; else standard output.")
  private Path out;

  public static void main(String[] arguments) {
    System.exit(new CommandLine(new SoakCommand()).execute(arguments));
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    long untilNanos = System.nanoTime() + (long) (minutes * TimeUnit.MINUTES.toNanos(1));
    List<SoakRun.Result> results = new ArrayList<>();
    for (long seed : LongStream.rangeClosed(seeds.first, seeds.last).toArray()) {
      if (System.nanoTime() > untilNanos) {
        break;
      }
      SoakPlan plan = SoakPlan.draw(seed, lateCopies);
      results.add(play(plan, folder -> GatewayProcess.deployedCommand(), out));
    }
    return summarize(results);
  }

  /** Plays one seed and reports it: its time line, and each violation with its history. */
  static SoakRun.Result play(SoakPlan plan, SoakGateway.Launcher launcher, Path reports)
      throws IOException, InterruptedException {
    if (reports == null) {
      return play(plan, launcher, System.out);
    }
    Files.createDirectories(reports);
    Path report = reports.resolve("seed-" + plan.seed() + ".txt");
    try (PrintStream file = new PrintStream(report.toFile(), StandardCharsets.UTF_8)) {
      return play(plan, launcher, file);
    }
  }

  private static SoakRun.Result play(
      SoakPlan plan, SoakGateway.Launcher launcher, PrintStream report)
      throws IOException, InterruptedException {
    report.println(
        "seed " + plan.seed() + " gateways " + plan.gateways() + " clients " + plan.clients());
    report.printf(
        "backends %d fault share %.2f crowd %d%n",
        plan.backends(), plan.backendFaultShare(), plan.crowd());
    plan.steps().forEach(step -> report.println("  " + step));
    try (SoakRun run = new SoakRun(plan, launcher)) {
      SoakRun.Result result = run.play();
      result.violations().forEach(violation -> report.println("VIOLATION " + violation));
      report.println(line(result));
      return result;
    }
  }

  private static String line(SoakRun.Result result) {
    return "seed "
        + result.seed()
        + " requests "
        + result.requests()
        + " "
        + result.outcomes()
        + " checks "
        + result.checks()
        + " voided "
        + result.voided()
        + " violations "
        + result.violations().size()
        + (result.isVoid() ? " NOT RUN: too much is voided" : "");
  }

  private static int summarize(List<SoakRun.Result> results) {
    System.out.println("---");
    results.forEach(result -> System.out.println(line(result)));
    if (results.stream().anyMatch(result -> !result.violations().isEmpty())) {
      return EXIT_VIOLATION;
    }
    return results.stream().anyMatch(SoakRun.Result::isVoid)
        ? EXIT_NOT_RUN
        : CommandLine.ExitCode.OK;
  }
}
