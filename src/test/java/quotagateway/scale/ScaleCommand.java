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

/** The command of the scale tests; deploy/scale.sh builds and starts it. */
@Command(
    name = "scale",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description =
        "Measures how the gateway, the counter and discovery grow with the size of the fleet.")
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

  @Parameters(
      paramLabel = "SWEEP",
      description = "Sweeps to run; all in their order if none is named.")
  private List<String> names = new ArrayList<>();

  @Option(
      names = "--quick",
      description = "Small sizes, under a minute in all: shows that the tests work.")
  private boolean quick;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Seed of random numbers (${DEFAULT-VALUE}).")
  private long seed;

  @Option(
      names = "--seconds",
      defaultValue = "20",
      description = "Bound on the measuring at each size, in seconds (${DEFAULT-VALUE}).")
  private double seconds;

  @Option(
      names = "--out",
      description = "File to which the JSON lines are added; else standard output.")
  private Path out;

  @Option(names = "--label", defaultValue = "here", description = "Name of the version measured.")
  private String label;

  @Option(
      names = "--against",
      description =
          "Another built working copy of the program, to be measured "
              + "beside this one, sweep by sweep, with its own test classes where it has them.")
  private Path against;

  public static void main(String[] arguments) {
    System.exit(new CommandLine(new ScaleCommand()).execute(arguments));
  }

  @Override
  public Integer call() throws Exception {
    List<Sweep> chosen =
        SWEEPS.stream().filter(s -> names.isEmpty() || names.contains(s.name())).toList();
    if (chosen.size() < Math.max(1, names.size())) {
      System.err.println("sweeps are " + SWEEPS.stream().map(Sweep::name).toList());
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
      // Standard output stays open: the tables go there too.
      play(chosen, plan, new PrintWriter(System.out, true, StandardCharsets.UTF_8));
    } else {
      try (Writer lines =
          Files.newBufferedWriter(
              out, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
        play(chosen, plan, lines);
      }
    }
    return CommandLine.ExitCode.OK;
  }

  /** Plays the sweeps one by one, each on the other version too where one is named. */
  private void play(List<Sweep> chosen, Sweep.Plan plan, Writer lines) throws Exception {
    for (Sweep sweep : chosen) {
      sweep.run(plan, new Report(lines, System.out));
      if (against != null) {
        new OtherVersion(against).run(sweep, arguments());
      }
    }
  }

  /** The options that a run of the other version shares with this one. */
  private List<String> arguments() {
    List<String> shared =
        new ArrayList<>(List.of("--seed=" + seed, "--seconds=" + seconds, "--label=other"));
    if (quick) {
      shared.add("--quick");
    }
    if (out != null) {
      shared.add("--out=" + out.toAbsolutePath());
    }
    return shared;
  }
}
