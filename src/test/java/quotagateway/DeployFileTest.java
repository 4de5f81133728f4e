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

/** The deploy file and the sources agree. */
class DeployFileTest {

  private static final Path SOURCES = Path.of("src/main/java/quotagateway");

  /**
   * The deploy file names the files that make decisions one by one: a folder counts as not there,
   * and so does a new file that nobody has added.
   */
  @Test
  void policyListsEachFileThatDecides() throws IOException {
    Set<String> files = new TreeSet<>();
    files.addAll(sourcesIn(SOURCES.resolve("policy")));
    files.addAll(sourcesIn(SOURCES.resolve("endpoint")));
    assertFalse(files.isEmpty());
    assertEquals(files, listed("policy"));
  }

  /** Sources without declarations, as package descriptions, decide nothing. */
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

  private static Set<String> listed(String key) throws IOException {
    String deployFile = Files.readString(Path.of("deploy/balancer.toml"));
    Pattern list = Pattern.compile("^" + key + " = \\[([^\\]]*)\\]", Pattern.MULTILINE);
    Matcher lists = list.matcher(deployFile);
    assertTrue(lists.find(), "no list " + key);
    Set<String> entries = new TreeSet<>();
    Matcher names = Pattern.compile("\"([^\"]*)\"").matcher(lists.group(1));
    while (names.find()) {
      entries.add(names.group(1));
    }
    return entries;
  }
}
