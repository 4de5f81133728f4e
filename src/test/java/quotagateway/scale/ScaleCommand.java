package quotagateway.scale;

import java.io.PrintWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Command line of the scale tests; deploy/scale.sh builds and starts it. */
@Command(
    name = "scale",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description =
        "Measures how the costs of the gateway, the counter and discovery grow with the fleet.")
public final class ScaleCommand implements Callable<Integer> {

  private static final List<Sweep> SWEEPS =
      List.of(
          new BackendSweep(),
          new ProgramSweep(),
          new FleetSizeSweep(false),
          new FleetSizeSweep(true),
          new SpreadSweep(),
          new ChangeSweep(),
          new TenantSweep(),
          new CounterSweep(),
          new ShardSweep(),
          new IncidentSweep());

  @Parameters(paramLabel = "SWEEP", description = "Sweeps to run; all sweeps if none is named.")
  private List<String> names = new ArrayList<>();

  @Option(
      names = "--quick",
      description = "Small sizes, less than a minute in total: checks that the sweeps work.")
  private boolean quick;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Seed of the random numbers (default: ${DEFAULT-VALUE}).")
  private long seed;

  @Option(
      names = "--seconds",
      defaultValue = "20",
      description = "Maximum measuring time at each size, in seconds (default: ${DEFAULT-VALUE}).")
  private double seconds;

  @Option(
      names = "--out",
      description = "File to which the JSON lines are appended (default: standard output).")
  private Path out;

  @Option(
      names = "--label",
      defaultValue = "here",
      description = "Label of the measured version (default: ${DEFAULT-VALUE}).")
  private String label;

  @Option(
      names = "--against",
      description =
          "Another built working copy of the gateway, measured after this one, "
              + "sweep by sweep, with its own test classes if it has them.")
  private Path against;

  public static void main(String[] arguments) {
    System.exit(new CommandLine(new ScaleCommand()).execute(arguments));
  }

  @Override
  public Integer call() throws Exception {
    List<Sweep> selected =
        SWEEPS.stream().filter(s -> names.isEmpty() || names.contains(s.name())).toList();
    if (selected.size() < Math.max(1, names.size())) {
      System.err.println(
          "unknown sweep; available sweeps: " + SWEEPS.stream().map(Sweep::name).toList());
      return CommandLine.ExitCode.USAGE;
    }
    Sweep.Plan plan =
        new Sweep.Plan(
            quick,
            seed,
            quick ? Math.min(1, seconds) : seconds,
            label,
            OtherVersion.programClasses());
    if (out == null) {
      // Standard output must stay open because the tables are printed there too.
      runSweeps(selected, plan, new PrintWriter(System.out, true, StandardCharsets.UTF_8));
    } else {
      try (Writer lines =
          Files.newBufferedWriter(
              out, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
        runSweeps(selected, plan, lines);
      }
    }
    return CommandLine.ExitCode.OK;
  }

  /** Runs the sweeps in order, each also on the other version if one is given. */
  private void runSweeps(List<Sweep> selected, Sweep.Plan plan, Writer lines) throws Exception {
    for (Sweep sweep : selected) {
      sweep.run(plan, new Report(lines, System.out));
      if (against != null) {
        new OtherVersion(against).run(sweep, options());
      }
    }
  }

  /** Returns the options for a run of the other version. */
  private List<String> options() {
    List<String> options =
        new ArrayList<>(List.of("--seed=" + seed, "--seconds=" + seconds, "--label=other"));
    if (quick) {
      options.add("--quick");
    }
    if (out != null) {
      options.add("--out=" + out.toAbsolutePath());
    }
    return options;
  }
}
