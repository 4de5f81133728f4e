package quotagateway.scale;

import java.io.IOException;

/** One scale test: measures the program at several values of one size. */
interface Sweep {

  String name();

  /**
   * Measures each size until the time given is used up; a size that was not reached is left out.
   *
   * @throws IOException if a stand-in cannot listen or a measured process cannot start
   * @throws InterruptedException if the thread is told to end
   */
  void run(Plan plan, Report report) throws IOException, InterruptedException;

  /**
   * What a run may take.
   *
   * @param quick small sizes only: shows that the test works, its figures mean little
   * @param seed of all random numbers
   * @param secondsEach bound on the time of each size
   * @param version label of the program's version that is measured
   * @param programClasses folder or jar of the program's classes, for tests that start it as a
   *     process
   */
  record Plan(boolean quick, long seed, double secondsEach, String version, String programClasses) {
    Measurement.Subject subject(Sweep sweep, String parameter) {
      return new Measurement.Subject(sweep.name(), version, parameter, seed);
    }

    int[] sizes(int[] quickly, int[] fully) {
      return quick ? quickly : fully;
    }
  }
}
