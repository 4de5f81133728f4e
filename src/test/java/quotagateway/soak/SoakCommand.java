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

/** Command line of the soak; {@code deploy/soak.sh} builds the jar and runs it. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description =
        "Runs real gateway processes on seeded plans and checks the guarantees of the service.")
public final class SoakCommand implements Callable<Integer> {

  private static final int EXIT_VIOLATION = 1;
  private static final int EXIT_NOT_RUN = 3;

  /** An inclusive range of seeds. */
  record SeedRange(long first, long last) {}

  /** Parses a single seed such as {@code 7} or a range such as {@code 1-50}. */
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
        // Reported below, like any other invalid value.
      }
      throw new TypeConversionException(
          "'" + value + "' is neither a seed nor a range such as 1-50");
    }
  }

  @Option(
      names = "--seeds",
      defaultValue = "1-50",
      converter = SeedRangeConverter.class,
      description = "Seeds to run, such as 7 or 1-50 (default: ${DEFAULT-VALUE}).")
  private SeedRange seeds;

  @Option(
      names = "--minutes",
      defaultValue = "60",
      description =
          "No further seed is started after this many minutes (default: ${DEFAULT-VALUE}).")
  private double minutes;

  @Option(
      names = "--late-copies",
      description =
          "Duplicate responses are sent a few milliseconds after the original. If a duplicate"
              + " arrives later than the gateway waits, it can't always be told from the next response.")
  private boolean lateCopies;

  @Option(
      names = "--out",
      description = "Folder for one report per seed; standard output if not given.")
  private Path out;

  public static void main(String[] arguments) {
    System.exit(new CommandLine(new SoakCommand()).execute(arguments));
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + (long) (minutes * TimeUnit.MINUTES.toNanos(1));
    List<SoakRun.Result> results = new ArrayList<>();
    for (long seed : LongStream.rangeClosed(seeds.first, seeds.last).toArray()) {
      if (System.nanoTime() > deadlineNanos) {
        break;
      }
      SoakPlan plan = SoakPlan.draw(seed, lateCopies);
      results.add(runPlan(plan, folder -> GatewayProcess.deployedCommand(), out));
    }
    return printSummary(results);
  }

  /** Runs one plan and reports its steps, each violation with its history, and a summary line. */
  static SoakRun.Result runPlan(SoakPlan plan, SoakGateway.Launcher launcher, Path reportFolder)
      throws IOException, InterruptedException {
    if (reportFolder == null) {
      return runPlan(plan, launcher, System.out);
    }
    Files.createDirectories(reportFolder);
    Path report = reportFolder.resolve("seed-" + plan.seed() + ".txt");
    try (PrintStream file = new PrintStream(report.toFile(), StandardCharsets.UTF_8)) {
      return runPlan(plan, launcher, file);
    }
  }

  private static SoakRun.Result runPlan(
      SoakPlan plan, SoakGateway.Launcher launcher, PrintStream report)
      throws IOException, InterruptedException {
    report.println(
        "seed " + plan.seed() + " gateways " + plan.gateways() + " clients " + plan.clients());
    report.printf(
        "backends %d fault share %.2f idle connections %d%n",
        plan.backends(), plan.backendFaultShare(), plan.idleConnections());
    plan.steps().forEach(step -> report.println("  " + step));
    try (SoakRun run = new SoakRun(plan, launcher)) {
      SoakRun.Result result = run.runPlan();
      result.violations().forEach(violation -> report.println("VIOLATION " + violation));
      report.println(summaryLine(result));
      return result;
    }
  }

  private static String summaryLine(SoakRun.Result result) {
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
        + (result.isVoid() ? " NOT RUN: too many checks are voided" : "");
  }

  private static int printSummary(List<SoakRun.Result> results) {
    System.out.println("---");
    results.forEach(result -> System.out.println(summaryLine(result)));
    if (results.stream().anyMatch(result -> !result.violations().isEmpty())) {
      return EXIT_VIOLATION;
    }
    return results.stream().anyMatch(SoakRun.Result::isVoid)
        ? EXIT_NOT_RUN
        : CommandLine.ExitCode.OK;
  }
}
