package quotagateway.scale;

import java.io.IOException;

/** A scale test that measures the gateway or its models at several values of one parameter. */
interface Sweep {

  String name();

  /**
   * Measures the sizes of the plan and adds the measurements to the report.
   *
   * @throws IOException if a fake cannot listen or a measured process cannot start
   * @throws InterruptedException if the thread is interrupted
   */
  void run(Plan plan, Report report) throws IOException, InterruptedException;

  /**
   * The options of a run.
   *
   * @param quick whether to use small sizes only, which checks that the sweep works but gives no
   *     meaningful figures
   * @param seed seed of all random numbers
   * @param secondsEach maximum measuring time of each size
   * @param version label of the measured version of the gateway
   * @param programClasses folder or jar of the gateway's classes, for sweeps that start the gateway
   *     as a process
   */
  record Plan(boolean quick, long seed, double secondsEach, String version, String programClasses) {
    Measurement.Subject subject(Sweep sweep, String parameter) {
      return new Measurement.Subject(sweep.name(), version, parameter, seed);
    }

    int[] sizes(int[] quickSizes, int[] fullSizes) {
      return quick ? quickSizes : fullSizes;
    }
  }
}
