package quotagateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that {@code deploy/balancer.toml} matches the sources. */
class DeployFileTest {

  private static final Path SOURCES = Path.of("src/main/java/quotagateway");

  /**
   * The deploy file must list each file of the decision code by name. An entry for a folder counts
   * as missing, and a new file is not covered until it is added.
   */
  @Test
  void policyListsEveryFileOfDecisionCode() throws IOException {
    Set<String> files = new TreeSet<>();
    files.addAll(sourcesIn(SOURCES.resolve("policy")));
    files.addAll(sourcesIn(SOURCES.resolve("endpoint")));
    assertFalse(files.isEmpty());
    assertEquals(files, listedFiles("policy"));
  }

  /** Returns the source files below a folder without package-info files, which have no code. */
  private static Set<String> sourcesIn(Path folder) throws IOException {
    Set<String> files = new TreeSet<>();
    try (Stream<Path> paths = Files.walk(folder)) {
      paths
          .filter(Files::isRegularFile)
          .filter(path -> !path.endsWith("package-info.java"))
          .forEach(path -> files.add(path.toString()));
    }
    return files;
  }

  private static Set<String> listedFiles(String key) throws IOException {
    String deployFile = Files.readString(Path.of("deploy/balancer.toml"));
    Pattern listPattern = Pattern.compile("^" + key + " = \\[([^\\]]*)\\]", Pattern.MULTILINE);
    Matcher listMatcher = listPattern.matcher(deployFile);
    assertTrue(listMatcher.find(), "no list named " + key);
    Set<String> entries = new TreeSet<>();
    Matcher entryMatcher = Pattern.compile("\"([^\"]*)\"").matcher(listMatcher.group(1));
    while (entryMatcher.find()) {
      entries.add(entryMatcher.group(1));
    }
    return entries;
  }
}
